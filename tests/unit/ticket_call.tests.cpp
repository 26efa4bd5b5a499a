#include "kumquatbeam/codec/http_call.hpp"
#include "kumquatbeam/codec/http_names.hpp"
#include "kumquatbeam/filters/request_filter.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;
namespace http = boost::beast::http;

constexpr unsigned http11 = 11;
const time_point now { std::chrono::hours(1) };

http_request requestTo(http::verb method, const std::string& path)
{
    http_request request(method, path, http11);
    request.set(http::field::authorization, "Bearer secret");
    return request;
}

} // namespace

TEST_CASE("A ticket can be requested only by POST [http_call]")
{
    const auto asked = decodeCall(requestTo(http::verb::post, "/v1/tickets/booking"), { now, now });
    REQUIRE(asked.ok());
    CHECK(asked->isTicketRequest);
    CHECK(asked->pool == pool_id { "booking" });

    const auto refused = decodeCall(requestTo(http::verb::get, "/v1/tickets/booking"), { now, now });
    REQUIRE_FALSE(refused.ok());
    CHECK(failureOf(refused.status())->kind == failure_kind::MalformedRequest);
}

TEST_CASE("A call carries the ticket of an earlier reply [http_call]")
{
    call_reply reply { .kind = reply_kind::Answered };
    reply.ticket = order_ticket { { "r1" }, { 0xabc }, 7, 0xdef };
    const auto response = encodeReply(reply, http11, true, now);
    auto request = requestTo(http::verb::post, "/v1/call/booking/order");
    request.set(ticketField, response[ticketField]);

    const auto call = decodeCall(std::move(request), { now, now });
    REQUIRE(call.ok());
    CHECK(call->ticket == reply.ticket);
}

TEST_CASE("A reply states its kind and its failure [http_call]")
{
    const auto response = encodeReply(unknownOutcome({ failure_kind::TicketUnknown }), http11, true, now);
    CHECK(response.result() == http::status::gone);
    CHECK(response[outcomeField] == "unknown");
    CHECK(response[failureField] == "ticket-unknown");
}
