#include "kumquatbeam/capacity/capacity_slope.hpp"
#include "kumquatbeam/capacity/fleet_sample.hpp"
#include "kumquatbeam/codec/peer_codec.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    constexpr std::array<std::size_t, 4> accountCounts { 100, 400, 1600, 3500 };
    constexpr std::array<std::size_t, 4> endpointCounts { 70, 700, 2800, 7700 };
    constexpr std::array<std::size_t, 4> routerCounts { 4, 16, 67, 740 };
    constexpr std::size_t backloggedPerTen = 1;
    constexpr fleet_size smallFleet { .accounts = 16, .endpoints = 16, .routers = 5 };

    /// Reports a few waiting accounts from each peer, so that a strategy that uses reports has something to divide.
    void reportFromPeers(capacity_strategy& strategy, const pool_view& view, std::size_t accountsInReport)
    {
        const auto now = clock::now();
        for (const auto& router : view.routers) {
            if (router.router == view.self)
                continue;
            slot_report report { .pool = wireKeyOf(view.pool), .document = view.document };
            for (std::size_t row = 0; row < std::min(accountsInReport, view.accounts.size()); ++row)
                report.accounts.push_back({ wireKeyOf(view.accounts[row].account), 1, 1, { 1 } });
            strategy.receive(router.router, report, view, now);
        }
    }

    double chooseTime(const fleet_size& size, const capacity_options& options)
    {
        const auto view = sampleView(size, std::max<std::size_t>(1, size.accounts * backloggedPerTen / 10));
        const auto strategy = makeCapacityStrategy(options.strategy);
        reportFromPeers(*strategy, view, 1);
        static_cast<void>(strategy->exchange(view, clock::now()));
        return cpuMicroseconds([&] { static_cast<void>(strategy->choose(view, clock::now())); });
    }

    capacity_slope chooseByAccounts(const capacity_options& options)
    {
        capacity_slope slope { "choose-by-accounts", "accounts", "processor us" };
        for (const auto count : accountCounts) {
            auto size = smallFleet;
            size.accounts = count;
            slope.points.push_back({ static_cast<double>(count), chooseTime(size, options) });
        }
        return slope;
    }

    capacity_slope chooseByEndpoints(const capacity_options& options)
    {
        capacity_slope slope { "choose-by-endpoints", "endpoints", "processor us" };
        for (const auto count : endpointCounts) {
            auto size = smallFleet;
            size.endpoints = count;
            slope.points.push_back({ static_cast<double>(count), chooseTime(size, options) });
        }
        return slope;
    }

    /// CPU time in microseconds, or bytes sent, of one exchange round of a router after a report of 30 accounts from
    /// each of the other routers.
    double exchangeCost(const fleet_size& size, const capacity_options& options, bool measuresBytes)
    {
        constexpr std::size_t accountsInReport = 30;
        constexpr double headerBytes = 40;
        const auto view = sampleView(size, accountsInReport);
        const auto strategy = makeCapacityStrategy(options.strategy);
        reportFromPeers(*strategy, view, accountsInReport);
        if (!measuresBytes) {
            return cpuMicroseconds([&] {
                reportFromPeers(*strategy, view, accountsInReport);
                static_cast<void>(strategy->exchange(view, std::max(clock::now(), strategy->nextExchange())));
            });
        }
        double bytes = 0;
        for (const auto& message : strategy->exchange(view, clock::now() + view.exchangePeriod))
            bytes += static_cast<double>(encodeFrame(message.message, clock::now()).size()) + headerBytes;
        return bytes;
    }

    capacity_slope exchangeSlope(const capacity_options& options, bool measuresBytes, capacity_slope slope)
    {
        for (const auto count : routerCounts) {
            auto size = smallFleet;
            size.accounts = targetFleet.accounts / size.domains;
            size.endpoints = targetFleet.endpoints / size.domains;
            size.routers = count;
            slope.points.push_back({ static_cast<double>(count), exchangeCost(size, options, measuresBytes) });
        }
        return slope;
    }

    capacity_slope exchangeTime(const capacity_options& options)
    {
        return exchangeSlope(options, false, { "beat-by-routers", "routers", "processor us" });
    }

    capacity_slope exchangeBytes(const capacity_options& options)
    {
        return exchangeSlope(options, true, { "beat-bytes-by-routers", "routers", "bytes with headers" });
    }

    constexpr auto table = std::to_array<slope_row>({
        { "choose-by-accounts", chooseByAccounts },
        { "choose-by-endpoints", chooseByEndpoints },
        { "beat-by-routers", exchangeTime },
        { "beat-bytes-by-routers", exchangeBytes },
    });

} // namespace

std::span<const slope_row> strategySlopes()
{
    return table;
}

} // namespace kumquatbeam
