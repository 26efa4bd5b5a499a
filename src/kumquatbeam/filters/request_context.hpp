#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <memory>
#include <optional>

namespace kumquatbeam {

/// Where a request goes once the chain has let it pass.
enum class request_route {
    /// Into the account's queue of this router.
    Queue,
    /// To the router that holds the order.
    Forward,
    /// To the order that is already in progress here.
    Join,
};

/// A request on its way through the filter chain; each filter fills what it decides.
struct request_context {
    request_id id;
    std::shared_ptr<const call_request> call;
    /// The peer that forwarded the request, or nothing for a caller of this router.
    std::optional<entry_vm_id> forwardedBy {};
    client_account_id account {};
    time_point deadline = never;
    /// Whether the call may be sent to an endpoint more than once.
    bool isRepeatable = true;
    request_route route = request_route::Queue;
};

} // namespace kumquatbeam
