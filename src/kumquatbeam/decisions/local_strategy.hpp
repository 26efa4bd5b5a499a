#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <algorithm>

namespace kumquatbeam {

/// Which slots a router uses without coordination.
enum class slot_division {
    /// All slots of every endpoint, as if there were no other router.
    WholePool,
    /// An even part of every endpoint's slots, by the router's position among the listed routers.
    StaticSlice,
};

/// Baseline: fair between the accounts of this router, without coordination with other routers.
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

/// The waiting account with the least service per share, or null.
const account_backlog* leastServedAccount(const pool_view&);

/// This router's slots at endpoint number `endpointIndex` when each endpoint is divided evenly between the routers. The
/// remainder goes to different routers at each endpoint.
slot_count staticSlice(const pool_view&, std::size_t endpointIndex);

/// Slots of the endpoint that a router uses without coordination.
slot_count uncoordinatedSlots(const pool_view&, std::size_t endpointIndex, slot_division);

/// The endpoint with the fewest calls among those with a free slot, and the second best.
struct endpoint_ranking {
    const endpoint_capacity* best = nullptr;
    const endpoint_capacity* second = nullptr;
};

/// Ranks the endpoints; `slotsAt` returns the slots that the router may use at the endpoint with the given index.
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

/// Builds the choice of an account and an endpoint, with its reasons.
placement_choice makePlacementChoice(
    const account_backlog&, const endpoint_ranking&, std::string_view reason, time_point sendBefore = never);

} // namespace kumquatbeam
