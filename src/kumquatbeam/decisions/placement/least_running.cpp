#include "kumquatbeam/decisions/placement/least_running.hpp"

#include <algorithm>
#include <tuple>

namespace kumquatbeam {

namespace {

    /// Utilisation below which an endpoint of the router's own failure domain is preferred to those of other domains.
    constexpr double localUtilisationLimit = 0.5;

    double utilisationOf(const endpoint_view& row, time_point now)
    {
        const auto slots = std::max(row.slots.value, 1);
        if (now >= row.reportUntil)
            return static_cast<double>(row.totalRunning()) / slots;
        // The report covers calls of routers whose heartbeats do not arrive.
        const auto calls = std::max(row.totalRunning(), row.reportedCalls);
        return static_cast<double>(calls) * std::max(row.reportedSlowdown, 1.0) / slots;
    }

} // namespace

std::optional<placement> least_running::place(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    const auto rank = [&](const endpoint_view& row) {
        const auto utilisation = utilisationOf(row, now);
        const bool isLocal = row.domain == call.domain && utilisation < localUtilisationLimit;
        return std::tuple(!row.isUsable, !isLocal, utilisation);
    };
    const auto best = std::min_element(endpoints.begin(), endpoints.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    if (best == endpoints.end() || !best->isUsable)
        return std::nullopt;
    return placement { .endpoint = best->endpoint,
        .reason = best->domain == call.domain ? "fewest calls in this domain" : "fewest calls" };
}

} // namespace kumquatbeam
