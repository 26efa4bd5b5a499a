#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/placement.hpp"
#include "kumquatbeam/types/time.hpp"

#include <algorithm>
#include <memory>
#include <optional>

namespace kumquatbeam {

/// Where a request goes after it has passed the filter chain.
enum class request_disposition {
    /// Goes to the account's queue in this router.
    Queue,
    /// Goes to the order registry, which issues a ticket for it.
    IssueTicket,
    /// Goes to the order registry, which places it as an order.
    PlaceOrder,
    /// Goes to the order that is already in progress here.
    JoinOrder,
    /// Goes to the router that owns the order.
    ForwardOrder,
};

/// Origin of a forwarded request.
struct forward_origin {
    entry_vm_id peer;
    /// The request's id at the peer, echoed in the outcome.
    request_id id;
};

struct call_route;
struct route_table;

/// The route that a request matched.
struct matched_route {
    /// The table that holds the route, kept for as long as the request is in progress.
    std::shared_ptr<const route_table> table;
    const call_route* route = nullptr;
    pool_id pool;
};

/// A request in the filter chain. Each filter sets the members that it decides.
struct request_context {
    request_id id;
    std::shared_ptr<const call_request> call;
    /// The peer that forwarded the request; unset for a caller of this router.
    std::optional<forward_origin> forwardedBy {};
    /// The order that this request executes, if the order registry placed it. The reply goes to the order's waiters.
    std::optional<order_ticket> order {};
    client_account_id account {};
    time_point deadline = never;
    /// Whether the call may be sent to an endpoint more than once.
    bool isRepeatable = true;
    request_disposition disposition = request_disposition::Queue;
    /// Set where a route table assigns requests to pools.
    std::optional<matched_route> matched {};
    /// Latest time for sending the call to an endpoint, regardless of its deadline.
    time_point sendBefore = never;
    /// The placement that a filter found for the call.
    std::optional<placement> chosenPlacement {};

    /// Whether a part of an answer has reached the caller, which therefore still waits for the rest.
    bool isBeingAnswered = false;

    /// When the caller may have stopped waiting.
    time_point earliestDeadline() const { return isBeingAnswered ? deadline : std::min(deadline, call->sendBefore); }

    /// Latest time at which the call may be sent.
    time_point startLimit() const { return std::min(earliestDeadline(), sendBefore); }
};

} // namespace kumquatbeam
