#pragma once

#include "kumquatbeam/codec/http_call.hpp"
#include "kumquatbeam/controllers/command.hpp"

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>

#include <string_view>

namespace kumquatbeam {

/// How callers speak HTTP with the router: what their requests mean, and how replies are written.
class caller_dialect {
public:
    virtual ~caller_dialect() = default;

    /// The path of the balancer's question whether the router is ready.
    virtual std::string_view readinessTarget() const = 0;

    /// Reads a whole request; times left that it states count from `arrivedAt`.
    virtual absl::StatusOr<call_request> decode(http_request&&, time_point arrivedAt) const = 0;

    /// Writes a whole reply.
    virtual http_response encodeReply(const call_reply&, unsigned version, bool keepAlive, time_point now) const = 0;

    /// Writes the head of an answer that goes on in chunks.
    virtual boost::beast::http::response_header<> encodeAnswerHead(const answer_head&, unsigned version) const = 0;
};

} // namespace kumquatbeam
