#include "kumquatbeam/decisions/pool_state.hpp"

#include "kumquatbeam/types/failure.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    /// Failures that count against the endpoint's health. A passed deadline or a disconnected caller does not count; an
    /// endpoint that hangs is detected by failed load probes.
    constexpr std::array endpointFailureKinds { failure_kind::EndpointBroke, failure_kind::EndpointUnreachable,
        failure_kind::EndpointRefused };

    /// Inverse of the weight of a new call in the moving average of the call cost.
    constexpr std::int64_t meanCostWindow = 32;

} // namespace

void pool_state::recordCost(service_cost cost)
{
    if (cost.value <= 0)
        return;
    auto& mean = view.meanCost.value;
    mean = mean == 0 ? cost.value : mean + (cost.value - mean) / meanCostWindow;
}

void pool_state::recordAnswer(const endpoint_id& endpoint, service_cost cost, time_point now)
{
    gate.recordAnswer(endpoint, now);
    retryBudget.deposit();
    serviceTime.record(cost, now);
}

void pool_state::recordFailure(const endpoint_id& endpoint, failure_kind kind, time_point now)
{
    if (std::find(endpointFailureKinds.begin(), endpointFailureKinds.end(), kind) != endpointFailureKinds.end())
        gate.recordFailure(endpoint, now);
}

void pool_state::refreshDeadlines(time_point now)
{
    ejectionEndsAt = gate.nextEjectionEnd(now);
    const auto lowerBound = serviceTime.lowerBound(now);
    infeasibleAt = never;
    for (const auto& [account, queue] : queues)
        infeasibleAt = std::min(infeasibleAt, queue.nextDeadline(lowerBound));
}

time_point pool_state::nextDeadline() const
{
    return std::min({ strategy->nextExchange(), ejectionEndsAt, infeasibleAt });
}

std::vector<request_context> pool_state::removeInfeasible(account_queue& queue, time_point now) const
{
    return queue.removeExpired(now, serviceTime.lowerBound(now));
}

time_point pool_state::expectedStart(const client_account_id& account, urgency urgencyClass, time_point now) const
{
    const auto queue = queues.find(account);
    const auto queueWait = queueWaits.find(account);
    if (queue == queues.end() || queueWait == queueWaits.end())
        return now;
    return queueWait->second.expectedStart(static_cast<std::int64_t>(queue->second.countAhead(urgencyClass)), now);
}

account_backlog* findAccount(pool_view& view, const client_account_id& id)
{
    const auto row = std::lower_bound(view.accounts.begin(), view.accounts.end(), id,
        [](const account_backlog& left, const client_account_id& right) { return left.account < right; });
    return row != view.accounts.end() && row->account == id ? &*row : nullptr;
}

endpoint_capacity* findEndpoint(pool_view& view, const endpoint_id& id)
{
    const auto row = std::lower_bound(view.endpoints.begin(), view.endpoints.end(), id,
        [](const endpoint_capacity& left, const endpoint_id& right) { return left.endpoint < right; });
    return row != view.endpoints.end() && row->endpoint == id ? &*row : nullptr;
}

std::optional<wire_key> poolKeyOf(const peer_message& message)
{
    if (const auto* report = std::get_if<slot_report>(&message))
        return report->pool;
    if (const auto* grant = std::get_if<slot_grant>(&message))
        return grant->pool;
    return std::nullopt;
}

} // namespace kumquatbeam
