#pragma once

#include "kumquatbeam/decisions/account_queue.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/endpoint_gate.hpp"
#include "kumquatbeam/decisions/retry_budget.hpp"
#include "kumquatbeam/decisions/service_time_estimate.hpp"

#include <map>
#include <memory>
#include <optional>

namespace kumquatbeam {

/// A router's state of one pool: queues, endpoint health and limits, retry budget, and estimates of service and waiting
/// times.
struct pool_state {
    pool_view view;
    std::unique_ptr<capacity_strategy> strategy;
    std::map<client_account_id, account_queue> queues;
    std::map<client_account_id, queue_wait_estimate> queueWaits;
    service_time_estimate serviceTime;
    endpoint_gate gate;
    retry_budget retryBudget;
    /// When an ejected endpoint may be tried again.
    time_point ejectionEndsAt = never;
    /// When the next waiting request can no longer be answered by its deadline.
    time_point infeasibleAt = never;

    /// Adds an attempt's cost to the mean that strategies charge for calls in flight.
    void recordCost(service_cost);

    /// Records an endpoint's complete answer.
    void recordAnswer(const endpoint_id&, service_cost, time_point now);

    /// Records the end of an attempt without an answer.
    void recordFailure(const endpoint_id&, failure_kind, time_point now);

    /// Recomputes the deadlines after a change.
    void refreshDeadlines(time_point now);

    /// The earliest time at which the pool has work to do.
    time_point nextDeadline() const;

    /// Removes the account's requests that can no longer be answered by their deadline.
    std::vector<request_context> removeInfeasible(account_queue&, time_point now) const;

    /// Estimated start of a request of this urgency that joins the account's queue now.
    time_point expectedStart(const client_account_id&, urgency, time_point now) const;
};

/// @{ The row of an account or an endpoint, or null.
account_backlog* findAccount(pool_view&, const client_account_id&);
endpoint_capacity* findEndpoint(pool_view&, const endpoint_id&);
/// @}

/// The pool that a peer's message is about; nothing for messages that do not concern a pool.
std::optional<wire_key> poolKeyOf(const peer_message&);

} // namespace kumquatbeam
