#pragma once

#include "kumquatbeam/types/arrival_bounds.hpp"
#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/time.hpp"

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace kumquatbeam {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Decodes a caller's HTTP request: `POST|GET /v1/call/POOL/TARGET` or `POST /v1/tickets/POOL`.
absl::StatusOr<call_request> decodeCall(http_request&&, const arrival_bounds&);

/// Encodes a complete reply as an HTTP response.
http_response encodeReply(const call_reply&, unsigned version, bool keepAlive, time_point now);

/// Encodes the header of an answer with a chunked body.
boost::beast::http::response_header<> encodeAnswerHead(
    endpoint_status, const std::string& contentType, unsigned version);

/// Encodes the request for an attempt at a call. All attempts at a call carry the same stream id, so that an endpoint
/// can tell that they belong together.
http_request encodeAttempt(
    const call_request&, const std::string& host, const std::string& streamId, byte_count resumeAt);

} // namespace kumquatbeam
