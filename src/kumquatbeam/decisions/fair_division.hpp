#pragma once

#include <cstdint>
#include <vector>

namespace kumquatbeam {

/// One account's claim on an arbiter's slots.
struct slot_claim {
    /// Weight, in thousandths of a share.
    double share = 0;
    /// Maximum number of slots that the account can use.
    double demand = 0;
    /// Slots added to the account's share, or taken from it, to even out past differences in service.
    double deficit = 0;
};

/// Weighted max-min division of `slots`, each claim capped by its demand; deficits are ignored.
std::vector<double> waterFill(const std::vector<slot_claim>&, double slots);

/// Weighted max-min division, corrected by the deficits. The sum is the smaller of `slots` and the total demand.
std::vector<double> divideSlots(const std::vector<slot_claim>&, double slots);

/// Rounds to whole slots by the largest remainder method. The sum is `slots`, or the sum of the targets rounded up if
/// that is less. A target that keeps a slot of `previous` when rounded up is ranked higher by `retentionBonus`.
std::vector<std::int32_t> roundToSlots(
    const std::vector<double>& targets, const std::vector<std::int32_t>& previous, std::int32_t slots);

} // namespace kumquatbeam
