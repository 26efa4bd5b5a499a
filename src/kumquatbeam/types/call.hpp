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

/// How soon an account wants a call, relative to its own other calls. It never takes another account's turn.
enum class urgency {
    Low,
    Normal,
    High,
};

/// Number of urgency classes.
inline constexpr std::size_t urgencyCount = 3;

/// Whether a call only reads. Reads may always be sent again.
enum class call_effect {
    Read,
    Write,
};

/// What a caller asked for, free of any front end's encoding.
struct call_request {
    std::string credential;
    pool_id pool;
    call_effect effect = call_effect::Write;
    /// The path at the endpoint.
    std::string target;
    std::string body;
    std::string contentType;
    urgency urgencyClass = urgency::Normal;
    /// When the caller stops waiting; the pool's time-out applies where the caller states none.
    std::optional<time_point> deadline;
    std::optional<order_ticket> ticket;
    /// Whether the caller asks for an order ticket instead of a call.
    bool isTicketRequest = false;
    /// Text by which calls that share a prompt prefix are recognised; empty where there is none.
    std::string affinity;

    /// @{ Calls that a route table assigns to pools: method, authority and fields go to the endpoint as they came.
    caller_request_id callerRequestId;
    std::string method;
    std::string authority;
    header_fields fields;
    prompt_metadata prompt;
    /// @}
};

/// What a caller may conclude from a reply.
enum class reply_kind {
    /// The endpoint's own whole answer.
    Answered,
    /// No byte of the call left for an endpoint, and none will.
    NotRun,
    /// The call may or may not have run.
    Unknown,
};

/// Text of a reply's kind, on the wire and in logs.
std::string_view nameOf(reply_kind);

/// Status code of an endpoint's answer.
using endpoint_status = strong_value<struct endpoint_status_tag, int>;

/// A whole reply to a call.
struct call_reply {
    reply_kind kind = reply_kind::Unknown;
    /// Set unless the kind is `Answered`.
    std::optional<failure> problem;
    endpoint_status status { 200 };
    std::string contentType;
    /// Fields of the endpoint's answer that are passed on.
    header_fields fields {};
    std::string body;
    std::optional<order_ticket> ticket;
    /// When it makes sense to come back, for refusals under load.
    std::optional<time_point> retryAt;
};

} // namespace kumquatbeam
