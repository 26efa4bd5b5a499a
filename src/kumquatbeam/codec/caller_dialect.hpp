#pragma once

#include "kumquatbeam/codec/http_call.hpp"
#include "kumquatbeam/controllers/command.hpp"

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>

#include <string_view>

namespace kumquatbeam {

/// HTTP interface for callers: decodes requests and encodes replies.
class caller_dialect {
public:
    virtual ~caller_dialect() = default;

    /// Path of the load balancer's readiness check.
    virtual std::string_view readinessTarget() const = 0;

    /// Decodes a complete request. Remaining times in it count from its arrival.
    virtual absl::StatusOr<call_request> decode(http_request&&, const arrival_bounds&) const = 0;

    /// Encodes a complete reply.
    virtual http_response encodeReply(const call_reply&, unsigned version, bool keepAlive, time_point now) const = 0;

    /// Encodes the header of an answer with a chunked body.
    virtual boost::beast::http::response_header<> encodeAnswerHead(const answer_head&, unsigned version) const = 0;
};

} // namespace kumquatbeam
