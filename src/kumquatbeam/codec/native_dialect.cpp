#include "kumquatbeam/codec/native_dialect.hpp"

#include "kumquatbeam/codec/http_names.hpp"

#include <string>

namespace kumquatbeam {

namespace http = boost::beast::http;

absl::StatusOr<call_request> native_caller_dialect::decode(http_request&& request, const arrival_bounds& arrival) const
{
    return decodeCall(std::move(request), arrival);
}

http_response native_caller_dialect::encodeReply(
    const call_reply& reply, unsigned version, bool keepAlive, time_point now) const
{
    // This interface reports a header that is too large as a malformed request.
    if (reply.problem && reply.problem->kind == failure_kind::HeaderTooLarge) {
        auto translated = reply;
        translated.problem->kind = failure_kind::MalformedRequest;
        return kumquatbeam::encodeReply(translated, version, keepAlive, now);
    }
    return kumquatbeam::encodeReply(reply, version, keepAlive, now);
}

http::response_header<> native_caller_dialect::encodeAnswerHead(const answer_head& head, unsigned version) const
{
    return kumquatbeam::encodeAnswerHead(head.status, head.contentType, version);
}

http_request native_endpoint_dialect::encode(const start_attempt& attempt, const std::string& streamId) const
{
    return encodeAttempt(*attempt.call, attempt.to.address, streamId, attempt.resumeAt);
}

void native_endpoint_dialect::setRemainingTime(http_request& request, std::chrono::milliseconds remaining) const
{
    request.set(remainingTimeField, std::to_string(remaining.count()));
}

answer_classification native_endpoint_dialect::classify(
    const answer_header& head, bool endsWithConnection, const start_attempt& attempt, const std::string& streamId) const
{
    constexpr answer_classification invalid { answer_class::Invalid, failure_kind::EndpointBroke };
    if (head.result() == http::status::service_unavailable && head.count(notRunField) > 0)
        return { answer_class::NotRun, failure_kind::EndpointRefused };
    // If only the end of the connection ends the answer, a truncated answer cannot be distinguished from a complete
    // one.
    if (endsWithConnection)
        return invalid;
    // If the answer has a stream id, it must match; otherwise it is the answer to another call.
    const auto stream = head.find(streamField);
    if (stream != head.end() && stream->value() != streamId)
        return invalid;
    if (attempt.resumeAt.value == 0)
        return {};
    // An endpoint that does not confirm the offset may have started from the beginning.
    const bool isConfirmed
        = head.result() == http::status::ok && head[resumedAtField] == std::to_string(attempt.resumeAt.value);
    return isConfirmed ? answer_classification {} : invalid;
}

} // namespace kumquatbeam
