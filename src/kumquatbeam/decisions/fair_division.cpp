#include "kumquatbeam/decisions/fair_division.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace kumquatbeam {

namespace {

    /// A remainder of fewer slots is treated as zero.
    constexpr double negligibleSlots = 1e-9;

    /// Slots by which an existing quota outranks a new one of the same size, to avoid needless moves.
    constexpr double retentionBonus = 0.75;

    double sumOf(const std::vector<double>& allocations)
    {
        return std::accumulate(allocations.begin(), allocations.end(), 0.0);
    }

    /// Divides the remaining slots between the claims with unmet demand.
    void distributeRemainder(std::vector<double>& allocations, const std::vector<slot_claim>& claims, double remaining)
    {
        std::vector<slot_claim> unmetClaims = claims;
        for (std::size_t index = 0; index < unmetClaims.size(); ++index)
            unmetClaims[index].demand -= allocations[index];
        const auto additional = waterFill(unmetClaims, remaining);
        for (std::size_t index = 0; index < allocations.size(); ++index)
            allocations[index] += additional[index];
    }

} // namespace

std::vector<double> waterFill(const std::vector<slot_claim>& claims, double slots)
{
    std::vector<double> allocations(claims.size(), 0.0);
    std::vector<std::size_t> unsatisfied;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        if (claims[index].demand > negligibleSlots && claims[index].share > 0)
            unsatisfied.push_back(index);
    }
    while (!unsatisfied.empty() && slots > negligibleSlots) {
        double weight = 0;
        for (const auto index : unsatisfied)
            weight += claims[index].share;
        const double level = slots / weight;
        std::vector<std::size_t> stillUnsatisfied;
        double allocated = 0;
        for (const auto index : unsatisfied) {
            if (claims[index].demand <= level * claims[index].share) {
                allocations[index] = claims[index].demand;
                allocated += claims[index].demand;
            } else {
                stillUnsatisfied.push_back(index);
            }
        }
        if (stillUnsatisfied.size() == unsatisfied.size()) {
            for (const auto index : unsatisfied)
                allocations[index] = level * claims[index].share;
            break;
        }
        slots -= allocated;
        unsatisfied = std::move(stillUnsatisfied);
    }
    return allocations;
}

std::vector<double> divideSlots(const std::vector<slot_claim>& claims, double slots)
{
    auto allocations = waterFill(claims, slots);
    for (std::size_t index = 0; index < claims.size(); ++index)
        allocations[index]
            = std::clamp(allocations[index] + claims[index].deficit, 0.0, std::max(claims[index].demand, 0.0));
    const double allocated = sumOf(allocations);
    if (allocated > slots) {
        for (auto& part : allocations)
            part *= slots / allocated;
    } else {
        distributeRemainder(allocations, claims, slots - allocated);
    }
    return allocations;
}

std::vector<std::int32_t> roundToSlots(
    const std::vector<double>& targets, const std::vector<std::int32_t>& previous, std::int32_t slots)
{
    std::vector<std::int32_t> rounded(targets.size(), 0);
    std::vector<double> rank(targets.size(), 0.0);
    std::vector<std::size_t> order;
    std::int32_t allocated = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        rounded[index] = static_cast<std::int32_t>(std::floor(targets[index] + negligibleSlots));
        allocated += rounded[index];
        rank[index] = targets[index] - rounded[index];
        if (rank[index] <= negligibleSlots)
            continue;
        if (previous[index] > rounded[index])
            rank[index] += retentionBonus;
        order.push_back(index);
    }
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return rank[left] > rank[right]; });
    const auto targetSum = std::min(slots, static_cast<std::int32_t>(std::ceil(sumOf(targets) - negligibleSlots)));
    for (const auto index : order) {
        if (allocated >= targetSum)
            break;
        ++rounded[index];
        ++allocated;
    }
    return rounded;
}

} // namespace kumquatbeam
