#include "kumquatbeam/decisions/placement/least_running.hpp"

#include <algorithm>
#include <tuple>

namespace kumquatbeam {

namespace {

    /// Utilisation below which an endpoint of the router's own failure domain is preferred to those of other domains.
    constexpr double localUtilisationLimit = 0.5;

    double utilisationOf(const endpoint_view& row)
    {
        return static_cast<double>(row.totalRunning()) / std::max(row.slots.value, 1);
    }

} // namespace

std::optional<placement> least_running::place(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point) const
{
    const auto rank = [&](const endpoint_view& row) {
        const bool isLocal = row.domain == call.domain && utilisationOf(row) < localUtilisationLimit;
        return std::tuple(!row.isUsable, !isLocal, utilisationOf(row));
    };
    const auto best = std::min_element(endpoints.begin(), endpoints.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    if (best == endpoints.end() || !best->isUsable)
        return std::nullopt;
    return placement { .endpoint = best->endpoint,
        .reason = best->domain == call.domain ? "fewest calls in this domain" : "fewest calls" };
}

} // namespace kumquatbeam
