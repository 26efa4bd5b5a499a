#include "kumquatbeam/capacity/capacity_slope.hpp"
#include "kumquatbeam/capacity/fleet_sample.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    constexpr std::array<std::size_t, 4> accountCounts { 100, 400, 1600, 3500 };
    constexpr std::array<std::size_t, 4> endpointCounts { 70, 700, 2800, 7700 };
    constexpr std::array<std::size_t, 4> routerCounts { 4, 16, 67, 740 };
    constexpr std::array<std::size_t, 4> backlogCounts { 10, 50, 150, 350 };
    constexpr std::array<std::size_t, 4> streamCounts { 100, 400, 1600, 3200 };
    constexpr fleet_size smallFleet { .accounts = 16, .endpoints = 16, .routers = 5 };

    double requestTime(const fleet_size& size, const capacity_options& options)
    {
        sample_core core(size, options.strategy);
        return cpuMicroseconds([&] {
            core.admit(0);
            core.finish();
        });
    }

    capacity_slope requestByAccounts(const capacity_options& options)
    {
        capacity_slope slope { "request-by-accounts", "accounts", "processor us" };
        for (const auto count : accountCounts) {
            auto size = smallFleet;
            size.accounts = count;
            slope.points.push_back({ static_cast<double>(count), requestTime(size, options) });
        }
        return slope;
    }

    capacity_slope requestByEndpoints(const capacity_options& options)
    {
        capacity_slope slope { "request-by-endpoints", "endpoints", "processor us" };
        for (const auto count : endpointCounts) {
            auto size = smallFleet;
            size.endpoints = count;
            slope.points.push_back({ static_cast<double>(count), requestTime(size, options) });
        }
        return slope;
    }

    capacity_slope requestByFleet(const capacity_options& options)
    {
        capacity_slope slope { "request-by-fleet", "part of the target", "processor us" };
        for (const auto fraction : targetFractions)
            slope.points.push_back({ fraction, requestTime(scaledTarget(fraction), options) });
        return slope;
    }

    /// At a full endpoint: a call ends, the next one is chosen, and another request joins the queue.
    capacity_slope requestByBacklog(const capacity_options& options)
    {
        capacity_slope slope { "request-by-backlog", "backlogged accounts", "processor us" };
        for (const auto count : backlogCounts) {
            auto size = smallFleet;
            size.accounts = targetFleet.accounts;
            size.endpoints = 1;
            size.pools = 1;
            sample_core core(size, options.strategy);
            std::size_t next = 0;
            for (std::size_t request = 0; request < targetSlots + count; ++request)
                core.admit(next++ % count);
            const auto cost = cpuMicroseconds([&] {
                core.finish();
                core.admit(next++ % count);
            });
            slope.points.push_back({ static_cast<double>(count), cost });
        }
        return slope;
    }

    double loadReportTime(const fleet_size& size, const capacity_options& options)
    {
        sample_core core(size, options.strategy);
        const load_observed observed { { "endpoint0000" }, endpoint_load { { "endpoint0000" }, 1, 0, false } };
        return cpuMicroseconds([&] { core.handle(observed); });
    }

    capacity_slope loadReportByEndpoints(const capacity_options& options)
    {
        capacity_slope slope { "load-report-by-endpoints", "endpoints", "processor us" };
        for (const auto count : endpointCounts) {
            auto size = smallFleet;
            size.endpoints = count;
            slope.points.push_back({ static_cast<double>(count), loadReportTime(size, options) });
        }
        return slope;
    }

    capacity_slope loadReportByAccounts(const capacity_options& options)
    {
        capacity_slope slope { "load-report-by-accounts", "accounts", "processor us" };
        for (const auto count : accountCounts) {
            auto size = smallFleet;
            size.accounts = count;
            slope.points.push_back({ static_cast<double>(count), loadReportTime(size, options) });
        }
        return slope;
    }

    capacity_slope loadReportByFleet(const capacity_options& options)
    {
        capacity_slope slope { "load-report-by-fleet", "part of the target", "processor us" };
        for (const auto fraction : targetFractions)
            slope.points.push_back({ fraction, loadReportTime(scaledTarget(fraction), options) });
        return slope;
    }

    capacity_slope heartbeatRound(const capacity_options& options)
    {
        capacity_slope slope { "heartbeat-round", "connected peers", "processor us" };
        for (const auto count : routerCounts) {
            auto size = smallFleet;
            size.routers = count;
            sample_core core(size, options.strategy);
            for (std::size_t peer = 1; peer < count; ++peer)
                core.handle(peer_connected { { { "router" + std::to_string(peer) }, { peer }, { "domain00" } } });
            slope.points.push_back(
                { static_cast<double>(count - 1), cpuMicroseconds([&] { core.runNextDeadline(); }) });
        }
        return slope;
    }

    capacity_slope coreMemory(const capacity_options& options)
    {
        capacity_slope slope { "core-memory", "accounts and endpoints", "bytes" };
        for (std::size_t index = 0; index < accountCounts.size(); ++index) {
            const fleet_size size { .accounts = accountCounts[index], .endpoints = endpointCounts[index] };
            const auto before = allocatedBytes();
            const sample_core core(size, options.strategy);
            slope.points.push_back({ static_cast<double>(size.accounts + size.endpoints), allocatedBytes() - before });
        }
        return slope;
    }

    capacity_slope streamMemory(const capacity_options& options)
    {
        capacity_slope slope { "stream-memory", "open streams", "bytes" };
        for (const auto count : streamCounts) {
            auto size = smallFleet;
            size.endpoints = count;
            sample_core core(size, options.strategy);
            const auto before = allocatedBytes();
            for (std::size_t stream = 0; stream < count; ++stream)
                core.admit(stream % size.accounts);
            slope.points.push_back({ static_cast<double>(count), allocatedBytes() - before });
        }
        return slope;
    }

    constexpr auto table = std::to_array<slope_row>({
        { "request-by-accounts", requestByAccounts },
        { "request-by-endpoints", requestByEndpoints },
        { "request-by-fleet", requestByFleet },
        { "request-by-backlog", requestByBacklog },
        { "load-report-by-endpoints", loadReportByEndpoints },
        { "load-report-by-accounts", loadReportByAccounts },
        { "load-report-by-fleet", loadReportByFleet },
        { "heartbeat-round", heartbeatRound },
        { "core-memory", coreMemory },
        { "stream-memory", streamMemory },
    });

} // namespace

std::span<const slope_row> decisionSlopes()
{
    return table;
}

} // namespace kumquatbeam
