#include "kumquatbeam/decisions/fair_division.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace kumquatbeam {

namespace {

    /// Slots below which a remainder counts as none.
    constexpr double negligibleSlots = 1e-9;

    /// Slots by which an existing quota outranks a new one of the same size, so that slots do not move without need.
    constexpr double keepBonus = 0.75;

    double sumOf(const std::vector<double>& parts)
    {
        return std::accumulate(parts.begin(), parts.end(), 0.0);
    }

    /// Gives what is left to the claims that can use more.
    void fillUp(std::vector<double>& parts, const std::vector<slot_claim>& claims, double left)
    {
        std::vector<slot_claim> rest = claims;
        for (std::size_t index = 0; index < rest.size(); ++index)
            rest[index].demand -= parts[index];
        const auto more = waterFill(rest, left);
        for (std::size_t index = 0; index < parts.size(); ++index)
            parts[index] += more[index];
    }

} // namespace

std::vector<double> waterFill(const std::vector<slot_claim>& claims, double slots)
{
    std::vector<double> parts(claims.size(), 0.0);
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        if (claims[index].demand > negligibleSlots && claims[index].share > 0)
            open.push_back(index);
    }
    while (!open.empty() && slots > negligibleSlots) {
        double weight = 0;
        for (const auto index : open)
            weight += claims[index].share;
        const double level = slots / weight;
        std::vector<std::size_t> stillOpen;
        double given = 0;
        for (const auto index : open) {
            if (claims[index].demand <= level * claims[index].share) {
                parts[index] = claims[index].demand;
                given += claims[index].demand;
            } else {
                stillOpen.push_back(index);
            }
        }
        if (stillOpen.size() == open.size()) {
            for (const auto index : open)
                parts[index] = level * claims[index].share;
            break;
        }
        slots -= given;
        open = std::move(stillOpen);
    }
    return parts;
}

std::vector<double> divideSlots(const std::vector<slot_claim>& claims, double slots)
{
    auto parts = waterFill(claims, slots);
    for (std::size_t index = 0; index < claims.size(); ++index)
        parts[index] = std::clamp(parts[index] + claims[index].deficit, 0.0, std::max(claims[index].demand, 0.0));
    const double given = sumOf(parts);
    if (given > slots) {
        for (auto& part : parts)
            part *= slots / given;
    } else {
        fillUp(parts, claims, slots - given);
    }
    return parts;
}

std::vector<std::int32_t> roundToSlots(
    const std::vector<double>& targets, const std::vector<std::int32_t>& previous, std::int32_t slots)
{
    std::vector<std::int32_t> rounded(targets.size(), 0);
    std::vector<double> rank(targets.size(), 0.0);
    std::vector<std::size_t> order;
    std::int32_t given = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        rounded[index] = static_cast<std::int32_t>(std::floor(targets[index] + negligibleSlots));
        given += rounded[index];
        rank[index] = targets[index] - rounded[index];
        if (rank[index] <= negligibleSlots)
            continue;
        if (previous[index] > rounded[index])
            rank[index] += keepBonus;
        order.push_back(index);
    }
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return rank[left] > rank[right]; });
    const auto wanted = std::min(slots, static_cast<std::int32_t>(std::ceil(sumOf(targets) - negligibleSlots)));
    for (const auto index : order) {
        if (given >= wanted)
            break;
        ++rounded[index];
        ++given;
    }
    return rounded;
}

} // namespace kumquatbeam
