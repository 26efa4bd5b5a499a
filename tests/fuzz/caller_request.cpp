#include "fuzzed_text.hpp"

#include "kumquatbeam/sessions/message_buffer.hpp"
#include "platform/platform_caller_dialect.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

// A request is refused, or decoded into a call without the fields that only a router may set.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    namespace http = boost::beast::http;
    if (size > messageBufferLimit)
        return 0;
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.header_limit(headLimit);
    parser.body_limit(messageBufferLimit);
    boost::beast::error_code error;
    parser.put(boost::asio::buffer(data, size), error);
    if (error || !parser.is_done())
        return 0;
    const auto call = platform::platform_caller_dialect {}.decode(
        parser.release(), { time_point(std::chrono::hours(1)), time_point(std::chrono::hours(1)) });
    if (call.ok()) {
        require(!call->callerRequestId.value.empty());
        for (const auto& field : call->fields)
            require(!boost::beast::iequals(field.name, "Tenant") && !boost::beast::iequals(field.name, "Hold"));
    }
    return 0;
}
