#pragma once

#include "kumquatbeam/codec/http_call.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace kumquatbeam {

/// What the head of an endpoint's answer says about the attempt.
enum class answer_class {
    /// It is the answer to the call.
    Answer,
    /// The endpoint did not run the call, and will not.
    NotRun,
    /// It answers another call; the answer to this one may follow.
    OtherCall,
    /// It cannot be the whole answer to the call.
    Invalid,
};

/// The meaning of an answer's head, and what is wrong where it is not an answer.
struct answer_classification {
    answer_class answerClass = answer_class::Answer;
    failure_kind problem = failure_kind::None;
};

/// How long an endpoint lets a connection be used after an answer.
struct keep_alive_policy {
    /// Whether another call may follow on the connection.
    bool isReusable = false;
    /// Time after which the endpoint closes an idle connection, where it says so.
    std::optional<std::chrono::seconds> idleTimeout;
};

/// How the router speaks HTTP with endpoints: how calls are written, and what their answers mean.
class endpoint_dialect {
public:
    using answer_header = boost::beast::http::response_header<>;

    virtual ~endpoint_dialect() = default;

    /// The request that has an endpoint run a call. The stream id tells the endpoint's attempts at one call together.
    virtual http_request encode(const start_attempt&, const std::string& streamId) const = 0;

    /// Writes into a request how long the caller still waits. Called just before it is sent.
    virtual void setRemainingTime(http_request&, std::chrono::milliseconds) const = 0;

    /// Judges an answer by its head. `endsWithConnection` tells that nothing but the end of the connection ends it.
    virtual answer_classification classify(
        const answer_header&, bool endsWithConnection, const start_attempt&, const std::string& streamId) const = 0;

    /// Fields of the answer that are passed on to the caller.
    virtual header_fields forwardedFields(const answer_header&) const = 0;

    /// What the endpoint says of its load in an answer, where it does.
    virtual std::optional<endpoint_load> loadOf(const answer_header&, const endpoint_id&) const = 0;

    /// Whether the connection may serve another call after this answer.
    virtual keep_alive_policy keepAlivePolicyOf(const answer_header&) const = 0;
};

} // namespace kumquatbeam
