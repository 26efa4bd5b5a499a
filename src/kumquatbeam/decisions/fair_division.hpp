#pragma once

#include <cstdint>
#include <vector>

namespace kumquatbeam {

/// What one account may claim of an arbiter's slots.
struct slot_claim {
    /// Weight, in thousandths of a share.
    double share = 0;
    /// The most slots that it can use.
    double demand = 0;
    /// Slots above or below its share that repay the service it is owed.
    double deficit = 0;
};

/// Weighted max-min division of `slots`, each claim capped by its demand; what is owed plays no part.
std::vector<double> waterFill(const std::vector<slot_claim>&, double slots);

/// Weighted max-min division, corrected by what is owed. The sum is the smaller of `slots` and the whole demand.
std::vector<double> divideSlots(const std::vector<slot_claim>&, double slots);

/// Rounds to whole slots by the largest remainder, so that the sum is `slots` or the rounded sum of the targets where
/// that is less. A target that rounds to what `previous` holds is preferred by `retentionBonus`.
std::vector<std::int32_t> roundToSlots(
    const std::vector<double>& targets, const std::vector<std::int32_t>& previous, std::int32_t slots);

} // namespace kumquatbeam
