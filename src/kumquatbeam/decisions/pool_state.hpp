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

/// All that a router keeps about one pool: what waits, what may go where, and how fast it goes.
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

    /// Takes what an attempt cost into the mean that strategies charge for calls in flight.
    void recordCost(service_cost);

    /// Takes in an endpoint's whole answer.
    void recordAnswer(const endpoint_id&, service_cost, time_point now);

    /// Takes in the end of an attempt without an answer.
    void recordFailure(const endpoint_id&, failure_kind, time_point now);

    /// Works the deadlines out again after something has changed.
    void refreshDeadlines(time_point now);

    /// The earliest time at which the pool has something to do.
    time_point nextDeadline() const;

    /// Takes out the account's requests that can no longer be answered by their deadline.
    std::vector<request_context> removeInfeasible(account_queue&, time_point now) const;

    /// When a request of this urgency that joins the account's queue now would start, for all that is known.
    time_point expectedStart(const client_account_id&, urgency, time_point now) const;
};

/// @{ The row of an account or an endpoint, or null.
account_backlog* findAccount(pool_view&, const client_account_id&);
endpoint_capacity* findEndpoint(pool_view&, const endpoint_id&);
/// @}

/// The pool that a peer's message is about, or nothing for messages about no pool.
std::optional<wire_key> poolKeyOf(const peer_message&);

} // namespace kumquatbeam
