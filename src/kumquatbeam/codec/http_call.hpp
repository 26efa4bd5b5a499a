#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/time.hpp"

#include <absl/status/statusor.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace kumquatbeam {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Reads a caller's HTTP request: `POST|GET /v1/call/POOL/TARGET` or `POST /v1/tickets/POOL`.
absl::StatusOr<call_request> decodeCall(http_request&&, time_point now);

/// Writes a whole reply as an HTTP response.
http_response encodeReply(const call_reply&, unsigned version, bool keepAlive, time_point now);

/// Writes the head of an answer that goes on in chunks.
boost::beast::http::response_header<> encodeAnswerHead(
    endpoint_status, const std::string& contentType, unsigned version);

/// The request that has an endpoint run a call. The stream id tells the endpoint's attempts at one call together.
http_request encodeAttempt(
    const call_request&, const std::string& host, const std::string& streamId, byte_count resumeAt);

} // namespace kumquatbeam
