#include "kumquatbeam/capacity/capacity_slope.hpp"
#include "kumquatbeam/capacity/fleet_sample.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    capacity_slope documentSize(const capacity_options&)
    {
        capacity_slope slope { "document-size", "part of the target", "bytes" };
        for (const auto fraction : targetFractions)
            slope.points.push_back({ fraction, static_cast<double>(sampleDocument(scaledTarget(fraction)).size()) });
        return slope;
    }

    capacity_slope memberListSize(const capacity_options&)
    {
        capacity_slope slope { "member-list-size", "routers", "bytes" };
        for (const auto fraction : targetFractions) {
            const auto size = scaledTarget(fraction);
            slope.points.push_back(
                { static_cast<double>(size.routers), static_cast<double>(sampleMembers(size).size()) });
        }
        return slope;
    }

    capacity_slope parseTime(const capacity_options&)
    {
        capacity_slope slope { "document-parse", "bytes", "processor us" };
        for (const auto fraction : targetFractions) {
            const auto text = sampleDocument(scaledTarget(fraction));
            const auto cost = cpuMicroseconds([&] { static_cast<void>(parseDocument({ 1 }, text)); });
            slope.points.push_back({ static_cast<double>(text.size()), cost });
        }
        return slope;
    }

    capacity_slope parsedMemory(const capacity_options&)
    {
        capacity_slope slope { "document-memory", "bytes", "bytes" };
        for (const auto fraction : targetFractions) {
            const auto text = sampleDocument(scaledTarget(fraction));
            const auto before = allocatedBytes();
            const auto result = parseDocument({ 1 }, text);
            slope.points.push_back({ static_cast<double>(text.size()), allocatedBytes() - before });
        }
        return slope;
    }

    capacity_slope changeTime(const capacity_options& options)
    {
        capacity_slope slope { "document-change", "bytes", "processor us" };
        for (const auto fraction : targetFractions) {
            const auto size = scaledTarget(fraction);
            sample_core core(size, options.strategy);
            const auto cost = cpuMicroseconds([&] { core.republishDocument(); });
            slope.points.push_back({ static_cast<double>(sampleDocument(size).size()), cost });
        }
        return slope;
    }

    constexpr auto table = std::to_array<slope_row>({
        { "document-size", documentSize },
        { "member-list-size", memberListSize },
        { "document-parse", parseTime },
        { "document-memory", parsedMemory },
        { "document-change", changeTime },
    });

} // namespace

std::span<const slope_row> documentSlopes()
{
    return table;
}

} // namespace kumquatbeam
