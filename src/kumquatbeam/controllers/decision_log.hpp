#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatbeam {

/// The route table that a decision was based on.
struct decision_basis {
    revision routes {};
    /// Time since the start of the last read that returned this table; unset if there is no table.
    std::optional<std::chrono::milliseconds> age {};
};

/// A request was sent to an endpoint.
struct placement_record {
    request_id request;
    /// The caller's own id of the request; empty where it has none.
    caller_request_id callerRequestId {};
    client_account_id account;
    pool_id pool;
    endpoint_id endpoint;
    /// Why this account was next, and why this endpoint was chosen.
    std::string_view reason;
    /// The next best endpoint and why it was not chosen; empty if there was none.
    endpoint_id runnerUp;
    std::string_view runnerUpReason;
    /// Number of the attempt, starting at one.
    int attempt = 1;
    /// Estimated time until the endpoint starts the call.
    std::chrono::microseconds wait { 0 };
    decision_basis basis {};
};

/// A request was refused without being sent to an endpoint.
struct refusal_record {
    request_id request;
    /// The caller's own id of the request; empty where it has none.
    caller_request_id callerRequestId {};
    client_account_id account;
    pool_id pool;
    std::string_view decidedBy;
    failure problem;
    decision_basis basis {};
};

/// A request that was sent to an endpoint has ended.
struct outcome_record {
    request_id request;
    caller_request_id callerRequestId;
    client_account_id account;
    pool_id pool;
    /// The endpoint of the last attempt.
    endpoint_id endpoint;
    reply_kind kind = reply_kind::Unknown;
    /// Status of the endpoint's answer; zero if there was none.
    endpoint_status status { 0 };
    failure_kind problem = failure_kind::None;
    int attempts = 0;
    /// @{ Time from the arrival of the request to the first byte of the answer, if there was one, and to the end.
    std::optional<std::chrono::milliseconds> firstByte;
    std::chrono::milliseconds total { 0 };
    /// @}
    /// How long the request may have waited before it was read; unset if it states no deadline.
    std::optional<std::chrono::milliseconds> age {};
    /// Time that was left until the deadline; negative if it has passed.
    std::chrono::milliseconds left { 0 };
};

/// A change of the fleet's state, such as configuration, membership or peers.
struct change_record {
    std::string_view part;
    std::string_view change;
    std::string subject;
};

/// Receives the decisions of the controllers; the runtime writes one log line for each.
class decision_log {
public:
    virtual ~decision_log() = default;

    virtual void placed(const placement_record&) = 0;
    virtual void refused(const refusal_record&) = 0;
    virtual void ended(const outcome_record&) = 0;
    virtual void changed(const change_record&) = 0;
    virtual void failed(std::string_view part, const failure&) = 0;
};

} // namespace kumquatbeam
