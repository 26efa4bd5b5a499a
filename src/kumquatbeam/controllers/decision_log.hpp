#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatbeam {

/// The route table by which a request was decided.
struct decision_basis {
    revision routes {};
    /// Time since the start of the read that last showed the table; unset where there is no table.
    std::optional<std::chrono::milliseconds> age {};
};

/// A request was given to an endpoint.
struct placement_record {
    request_id request;
    /// The caller's own id of the request; empty where it has none.
    caller_request_id callerRequestId {};
    client_account_id account;
    pool_id pool;
    endpoint_id endpoint;
    /// Why this account had the next turn, and why this endpoint.
    std::string_view reason;
    /// The next best endpoint and why it was not taken; empty where there was none.
    endpoint_id runnerUp;
    std::string_view runnerUpReason;
    /// Which attempt at the request this is, from one.
    int attempt = 1;
    /// Time until the endpoint turns to the call, as far as was known.
    std::chrono::microseconds wait { 0 };
    decision_basis basis {};
};

/// A request was ended without an endpoint.
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

/// A request that was given to endpoints has had its end.
struct outcome_record {
    request_id request;
    caller_request_id callerRequestId;
    client_account_id account;
    pool_id pool;
    /// The endpoint of the last attempt.
    endpoint_id endpoint;
    reply_kind kind = reply_kind::Unknown;
    /// Status of the endpoint's answer; zero where there was none.
    endpoint_status status { 0 };
    failure_kind problem = failure_kind::None;
    int attempts = 0;
    /// @{ Times since the request came: to the first byte of the answer, if there was one, and to the end.
    std::optional<std::chrono::milliseconds> firstByte;
    std::chrono::milliseconds total { 0 };
    /// @}
};

/// Something about the fleet changed: configuration, membership, peers.
struct change_record {
    std::string_view part;
    std::string_view change;
    std::string subject;
};

/// Where controllers report their decisions; the runtime writes a line for each.
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
