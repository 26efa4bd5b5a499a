#pragma once

#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/header_field.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/order_ticket.hpp"
#include "kumquatbeam/types/prompt.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Priority of a call among the calls of the same account. It does not affect other accounts.
enum class urgency {
    Low,
    Normal,
    High,
};

/// Number of urgency classes.
inline constexpr std::size_t urgencyCount = 3;

/// Whether a call only reads. Reads may always be retried.
enum class call_effect {
    Read,
    Write,
};

/// A caller's request, independent of the encoding of the front end.
struct call_request {
    std::string credential;
    pool_id pool;
    call_effect effect = call_effect::Write;
    /// Path that is requested from the endpoint.
    std::string target;
    std::string body;
    std::string contentType;
    urgency urgencyClass = urgency::Normal;
    /// When the caller stops waiting at the latest. The pool's timeout applies if the caller gives no deadline.
    std::optional<time_point> deadline;
    /// When the caller may have stopped waiting: no endpoint is called after that.
    time_point sendBefore = never;
    std::optional<order_ticket> ticket;
    /// Whether the caller requests an order ticket instead of a call.
    bool isTicketRequest = false;
    /// Affinity key: calls with the same key share a prompt prefix. Empty if the caller gave none.
    std::string affinity;

    /// @{ Set for calls that a route table assigns to pools. Method, authority and fields are forwarded unchanged.
    caller_request_id callerRequestId;
    std::string method;
    std::string authority;
    header_fields fields;
    prompt_metadata prompt;
    /// @}
};

/// What a reply tells the caller about the execution of the call.
enum class reply_kind {
    /// The endpoint's complete answer.
    Answered,
    /// No byte of the call was sent to an endpoint, and none will be.
    NotRun,
    /// The call may or may not have run.
    Unknown,
};

/// Name of a reply kind on the wire and in logs.
std::string_view nameOf(reply_kind);

/// Status code of an endpoint's answer.
using endpoint_status = strong_value<struct endpoint_status_tag, int>;

/// A complete reply to a call.
struct call_reply {
    reply_kind kind = reply_kind::Unknown;
    /// Set unless the kind is `Answered`.
    std::optional<failure> problem;
    endpoint_status status { 200 };
    std::string contentType;
    /// Header fields of the endpoint's answer that are forwarded to the caller.
    header_fields fields {};
    std::string body;
    std::optional<order_ticket> ticket;
    /// Earliest useful time for a retry, for requests refused under load.
    std::optional<time_point> retryAt;
};

} // namespace kumquatbeam
