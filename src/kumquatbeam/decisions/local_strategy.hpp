#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <algorithm>

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
    slot_division m_division;
};

/// The waiting account with the least service by share, or null.
const account_backlog* leastServedAccount(const pool_view&);

/// Slots of endpoint number `endpointIndex` that fall to this router when each endpoint is divided evenly; what is left
/// over goes to a different router at each endpoint.
slot_count staticSlice(const pool_view&, std::size_t endpointIndex);

/// Slots of the endpoint that a router takes without asking.
slot_count uncoordinatedSlots(const pool_view&, std::size_t endpointIndex, slot_division);

/// The endpoint with the fewest calls among those that have a slot left, and the second best.
struct endpoint_ranking {
    const endpoint_capacity* best = nullptr;
    const endpoint_capacity* second = nullptr;
};

/// Picks an endpoint; `slotsAt` gives the slots that the router may use at the endpoint with that index.
template <typename SlotsAt> endpoint_ranking leastLoadedEndpoint(const pool_view& view, SlotsAt slotsAt)
{
    endpoint_ranking choice;
    for (std::size_t index = 0; index < view.endpoints.size(); ++index) {
        const auto& endpoint = view.endpoints[index];
        if (!endpoint.isUsable || endpoint.running >= std::min(endpoint.slots, slotsAt(index)))
            continue;
        if (!choice.best || endpoint.running < choice.best->running) {
            choice.second = choice.best;
            choice.best = &endpoint;
        } else if (!choice.second || endpoint.running < choice.second->running) {
            choice.second = &endpoint;
        }
    }
    return choice;
}

/// The choice of an account and an endpoint, with its reasons.
placement_choice makePlacementChoice(
    const account_backlog&, const endpoint_ranking&, std::string_view reason, time_point sendBefore = never);

} // namespace kumquatbeam
