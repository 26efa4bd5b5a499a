#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

namespace kumquatbeam {

/// Which slots a router takes for its own without asking.
enum class slot_division {
    /// All slots of every endpoint, as if it were alone.
    WholePool,
    /// Its part of every endpoint's slots, by its place among the listed routers.
    StaticSlice,
};

/// Baseline: fair between the accounts of this router, without a word to the others.
class local_strategy final : public capacity_strategy {
public:
    explicit local_strategy(slot_division division)
        : m_division(division)
    {
    }

    std::string_view name() const override;
    std::optional<placement_choice> choose(const pool_view&, time_point now) override;

private:
    slot_count slotsAt(const pool_view&, std::size_t endpointIndex) const;

    slot_division m_division;
};

/// The waiting account with the least service by share, or null.
const account_backlog* leastServedAccount(const pool_view&);

/// Slots of endpoint number `endpointIndex` that fall to this router when each endpoint is divided evenly; what is left
/// over goes to a different router at each endpoint.
slot_count staticSlice(const pool_view&, std::size_t endpointIndex);

} // namespace kumquatbeam
