#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/placement.hpp"
#include "kumquatbeam/types/time.hpp"

#include <memory>
#include <optional>

namespace kumquatbeam {

/// Where a request goes once the chain has let it pass.
enum class request_disposition {
    /// Into the account's queue of this router.
    Queue,
    /// To the order book, which gives it a ticket.
    IssueTicket,
    /// To the order book, which places it as an order.
    PlaceOrder,
    /// To the order that is already in progress here.
    JoinOrder,
    /// To the router that holds the order.
    ForwardOrder,
};

/// Where a forwarded request came from.
struct forward_origin {
    entry_vm_id peer;
    /// The request's id in the peer, which the outcome echoes.
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

/// A request on its way through the filter chain; each filter fills what it decides.
struct request_context {
    request_id id;
    std::shared_ptr<const call_request> call;
    /// Which peer forwarded the request, or nothing for a caller of this router.
    std::optional<forward_origin> forwardedBy {};
    /// The order that this request runs, for a request that the order book placed. Its reply goes to the order's
    /// waiters.
    std::optional<order_ticket> order {};
    client_account_id account {};
    time_point deadline = never;
    /// Whether the call may be sent to an endpoint more than once.
    bool isRepeatable = true;
    request_disposition disposition = request_disposition::Queue;
    /// Set where a route table assigns requests to pools.
    std::optional<matched_route> matched {};
    /// After this time the call must not be sent to an endpoint any more, whatever its deadline.
    time_point sendBefore = never;
    /// Where a filter found room for the call.
    std::optional<placement> chosenPlacement {};
};

} // namespace kumquatbeam
