#pragma once

#include "kumquatbeam/codec/http_call.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace kumquatbeam {

/// Result of an attempt, according to the header of the endpoint's answer.
enum class answer_class {
    /// It is the answer to the call.
    Answer,
    /// The endpoint did not run the call, and will not.
    NotRun,
    /// It answers another call; the answer to this one may follow.
    OtherCall,
    /// It cannot be the complete answer to the call.
    Invalid,
};

/// Class of an answer, and the failure if it is not the answer to the call.
struct answer_classification {
    answer_class answerClass = answer_class::Answer;
    failure_kind problem = failure_kind::None;
    /// Whether the answer names the call. One that does not may be a stray copy of an earlier answer, so it counts only
    /// as the first answer on a connection.
    bool namesCall = true;
};

/// What an endpoint says about itself in the head of an answer.
struct endpoint_notice {
    /// The endpoint is about to leave.
    bool isLeaving = false;
    /// Until when the endpoint asks this router to send it nothing.
    std::optional<time_point> quietUntil {};
    /// Until when the endpoint is cold, if it says that it is.
    std::optional<time_point> coldUntil {};
    /// Set if the endpoint asks for quiet in a form that is not understood.
    std::optional<failure> problem {};

    bool isEmpty() const { return !isLeaving && !quietUntil && !coldUntil && !problem; }
};

/// Whether and how long a connection can be reused after an answer.
struct keep_alive_policy {
    /// Whether another call may be sent on the connection.
    bool isReusable = false;
    /// Time after which the endpoint closes an idle connection, if it states one.
    std::optional<std::chrono::seconds> idleTimeout;
};

/// HTTP interface to endpoints: encodes calls and classifies answers.
class endpoint_dialect {
public:
    using answer_header = boost::beast::http::response_header<>;

    virtual ~endpoint_dialect() = default;

    /// Encodes the request for an attempt at a call. All attempts at a call carry the same stream id, so that an
    /// endpoint can tell that they belong together.
    virtual http_request encode(const start_attempt&, const std::string& streamId) const = 0;

    /// Sets the caller's remaining time in a request. Called just before the request is sent.
    virtual void setRemainingTime(http_request&, std::chrono::milliseconds) const = 0;

    /// Classifies an answer by its header. `endsWithConnection` is true if only the end of the connection marks the end
    /// of the answer.
    virtual answer_classification classify(
        const answer_header&, bool endsWithConnection, const start_attempt&, const std::string& streamId) const = 0;

    /// Header fields of the answer that are forwarded to the caller.
    virtual header_fields forwardedFields(const answer_header&) const = 0;

    /// The endpoint's load as reported in an answer, if any.
    virtual std::optional<endpoint_load> loadOf(const answer_header&, const endpoint_id&) const = 0;

    /// What the endpoint says about itself in an answer that was read at `now`.
    virtual endpoint_notice noticeOf(const answer_header&, time_point now) const = 0;

    /// Whether and how long the connection can be reused after this answer.
    virtual keep_alive_policy keepAlivePolicyOf(const answer_header&) const = 0;
};

} // namespace kumquatbeam
