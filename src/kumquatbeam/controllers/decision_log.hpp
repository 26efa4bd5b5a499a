#pragma once

#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <string_view>

namespace kumquatbeam {

/// A request was given to an endpoint.
struct placement_record {
    request_id request;
    client_account_id account;
    pool_id pool;
    endpoint_id endpoint;
    /// Why this account had the next turn, and why this endpoint.
    std::string_view reason;
    /// The next best endpoint and why it was not taken; empty where there was none.
    endpoint_id runnerUp;
    std::string_view runnerUpReason;
};

/// A request was ended without an endpoint.
struct refusal_record {
    request_id request;
    client_account_id account;
    pool_id pool;
    std::string_view decidedBy;
    failure problem;
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
    virtual void changed(const change_record&) = 0;
    virtual void failed(std::string_view part, const failure&) = 0;
};

} // namespace kumquatbeam
