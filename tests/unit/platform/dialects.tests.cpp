#include "platform/platform_caller_dialect.hpp"
#include "platform/platform_endpoint_dialect.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kumquatbeam;
using namespace kumquatbeam::platform;
namespace http = boost::beast::http;

namespace {

constexpr time_point now { std::chrono::hours(1) };

http_request clientRequest()
{
    http_request request { http::verb::post, "/q/2f?x=1", 11 };
    request.set(http::field::host, "ficu95.example");
    request.set("Attempt-Id", "9c41");
    request.set("Deadline-Milliseconds", "8000");
    request.set(http::field::authorization, "Bearer secret");
    request.body() = "body";
    return request;
}

bool hasField(const header_fields& fields, std::string_view name)
{
    return std::any_of(fields.begin(), fields.end(), [name](const header_field& field) { return field.name == name; });
}

start_attempt attemptOf(const std::string& callerRequestId)
{
    call_request call;
    call.callerRequestId = { callerRequestId };
    call.method = "POST";
    call.target = "/q/2f";
    call.authority = "ficu95.example";
    call.fields = { { "Model", "m" }, { "Last-Event-Id", "1" } };
    call.body = "body";
    return { .id = { 1 },
        .to = { { "i-7" }, "10.0.0.1", 80 },
        .call = std::make_shared<const call_request>(call),
        .account = { "weavers" } };
}

http::response_header<> answer(unsigned status, const std::vector<header_field>& fields)
{
    http::response_header<> head;
    head.result(status);
    for (const auto& field : fields)
        head.insert(field.name, field.value);
    return head;
}

answer_class classOf(const http::response_header<>& head)
{
    return platform_endpoint_dialect {}.classify(head, false, attemptOf("9c41"), "").answerClass;
}

} // namespace

TEST_CASE("A deadline counts from the latest arrival, and the time for sending from the earliest [platform]")
{
    const auto call = platform_caller_dialect {}.decode(clientRequest(), { now - std::chrono::seconds(3), now });
    REQUIRE(call.ok());
    CHECK(call->deadline == now + std::chrono::seconds(8));
    CHECK(call->sendBefore == now + std::chrono::seconds(5));
}

TEST_CASE("A request keeps its end-to-end fields and loses those that only the router may set [platform]")
{
    auto request = clientRequest();
    request.set("Connection", "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Kept", "2");
    for (const char* own :
        { "Tenant", "Expected-Instance", "Hold", "Pin-Milliseconds", "Kv-Cache-Backup", "Kv-From", "Kv-Fetch" })
        request.set(own, "forged");
    const auto call = platform_caller_dialect {}.decode(std::move(request), { now, now });
    REQUIRE(call.ok());
    CHECK(call->method == "POST");
    CHECK(call->target == "/q/2f?x=1");
    CHECK(call->credential == "secret");
    CHECK(call->deadline == now + std::chrono::seconds(8));
    CHECK(hasField(call->fields, "Attempt-Id"));
    CHECK(hasField(call->fields, "X-Kept"));
    for (const char* dropped : { "Tenant", "Expected-Instance", "Hold", "Pin-Milliseconds", "Kv-Cache-Backup",
             "Kv-From", "Kv-Fetch", "X-Hop", "Connection", "Authorization", "Deadline-Milliseconds" })
        CHECK_FALSE(hasField(call->fields, dropped));
}

TEST_CASE("A request with ambiguous framing or credentials is refused [platform]")
{
    const auto isRefused = [](auto&& corrupt) {
        auto request = clientRequest();
        corrupt(request);
        return !platform_caller_dialect {}.decode(std::move(request), { now, now }).ok();
    };
    CHECK(isRefused([](auto& request) { request.insert("Host", "other.example"); }));
    CHECK(isRefused([](auto& request) { request.erase("Host"); }));
    CHECK(isRefused([](auto& request) { request.insert("Attempt-Id", "other"); }));
    CHECK(isRefused([](auto& request) { request.erase("Attempt-Id"); }));
    CHECK(isRefused([](auto& request) { request.set("Transfer-Encoding", "xchunked"); }));
    CHECK(isRefused([](auto& request) { request.set("Transfer-Encoding", "identity, chunked"); }));
    CHECK(isRefused([](auto& request) {
        request.set("Transfer-Encoding", "chunked");
        request.set("Content-Length", "4");
    }));
    CHECK(isRefused([](auto& request) { request.set("Deadline-Milliseconds", "soon"); }));
    CHECK(isRefused([](auto& request) { request.insert("Authorization", "Bearer other"); }));
}

TEST_CASE("Only a call that has not run gets a status that guarantees it [platform]")
{
    const platform_caller_dialect dialect;
    const auto statusOf = [&](reply_kind kind, failure_kind problem) {
        call_reply reply { .kind = kind, .problem = failure { problem } };
        return dialect.encodeReply(reply, 11, true, now).result_int();
    };
    for (const auto kind : { failure_kind::PoolBusy, failure_kind::NoEndpoint, failure_kind::KeysStale,
             failure_kind::EndpointUnreachable, failure_kind::EndpointBroke, failure_kind::EndpointTimedOut,
             failure_kind::CallerGone, failure_kind::Draining, failure_kind::EndpointRefused }) {
        const auto unknown = statusOf(reply_kind::Unknown, kind);
        CHECK((unknown == 502 || unknown == 504));
    }
    CHECK(statusOf(reply_kind::NotRun, failure_kind::PoolBusy) == 503);
    CHECK(statusOf(reply_kind::NotRun, failure_kind::UnknownRoute) == 404);
    CHECK(statusOf(reply_kind::NotRun, failure_kind::UnknownAccount) == 401);
    CHECK(statusOf(reply_kind::NotRun, failure_kind::NotReady) == 503);
}

TEST_CASE("A refusal states its retry delay in fractions of a second [platform]")
{
    call_reply reply { .kind = reply_kind::NotRun, .problem = failure { failure_kind::PoolBusy } };
    reply.retryAt = now + std::chrono::milliseconds(250);
    const auto response = platform_caller_dialect {}.encodeReply(reply, 11, true, now);
    CHECK(response[http::field::retry_after] == "0.250");
}

TEST_CASE("An endpoint's answer is forwarded with its status, fields and body [platform]")
{
    call_reply reply { .kind = reply_kind::Answered };
    reply.status = { 500 };
    reply.fields = { { "Response-Seal", "3e1b" } };
    reply.body = "whole";
    const auto response = platform_caller_dialect {}.encodeReply(reply, 11, true, now);
    CHECK(response.result_int() == 500);
    CHECK(response["Response-Seal"] == "3e1b");
    CHECK(response.body() == "whole");
    CHECK(response[http::field::content_length] == "5");
}

TEST_CASE("An attempt states the endpoint, the account and the remaining time [platform]")
{
    const platform_endpoint_dialect dialect;
    auto attempt = attemptOf("9c41");
    attempt.resumeAfter = event_number { 6 };
    auto request = dialect.encode(attempt, "");
    dialect.setRemainingTime(request, std::chrono::milliseconds(1234));
    CHECK(request["Expected-Instance"] == "i-7");
    CHECK(request["Tenant"] == "weavers");
    CHECK(request["Deadline-Milliseconds"] == "1234");
    CHECK(request["Last-Event-Id"] == "6");
    CHECK(request.count("Last-Event-Id") == 1);
    CHECK(request[http::field::host] == "ficu95.example");
    CHECK(request.body() == "body");
}

TEST_CASE("An answer is classified by its head [platform]")
{
    CHECK(classOf(answer(200, { { "Attempt-Id", "9c41" }, { "Response-Seal", "s" } })) == answer_class::Answer);
    CHECK(classOf(answer(500, { { "Attempt-Id", "9c41" }, { "Response-Seal", "s" } })) == answer_class::Answer);
    CHECK(classOf(answer(200, { { "Attempt-Id", "other" }, { "Response-Seal", "s" } })) == answer_class::OtherCall);
    CHECK(classOf(answer(200, { { "Attempt-Id", "9c41" } })) == answer_class::Invalid);
    CHECK(classOf(answer(200, { { "Response-Seal", "s" } })) == answer_class::Invalid);
    CHECK(classOf(answer(200, { { "Attempt-Id", "9c41" }, { "Response-Seal", "s" }, { "Content-Encoding", "gzip" } }))
        == answer_class::Invalid);
    CHECK(classOf(answer(503, { { "Attempt-Id", "9c41" }, { "Not-Executed", "1" } })) == answer_class::NotRun);
    CHECK(classOf(answer(400, { { "Not-Executed", "1" } })) == answer_class::NotRun);
    CHECK(classOf(answer(421, { { "Instance-Id", "i-8" } })) == answer_class::NotRun);
}

TEST_CASE("A status that implies not having run is not forwarded unless the endpoint confirms it [platform]")
{
    for (const unsigned status : { 408U, 429U, 503U })
        CHECK(classOf(answer(status, { { "Attempt-Id", "9c41" }, { "Response-Seal", "s" } })) == answer_class::Invalid);
}

TEST_CASE("The keep-alive policy and the load are decoded from an answer [platform]")
{
    const platform_endpoint_dialect dialect;
    const auto policy
        = dialect.keepAlivePolicyOf(answer(200, { { "Attempt-Id", "9c41" }, { "Keep-Alive", "max=3, timeout=7" } }));
    CHECK(policy.isReusable);
    // Without its id, a second copy of the answer could be taken for the next one.
    CHECK_FALSE(dialect.keepAlivePolicyOf(answer(200, { { "Keep-Alive", "max=3, timeout=7" } })).isReusable);
    CHECK(policy.idleTimeout == std::chrono::seconds(7));
    for (const char* timeout : { "timeout=x", "timeout=-1", "timeout=9223372036854775807", "timeout=1e3", "timeout=" })
        CHECK_FALSE(dialect.keepAlivePolicyOf(answer(200, { { "Keep-Alive", timeout } })).idleTimeout);
    const auto load = dialect.loadOf(answer(200, { { "Server-Load", "3,2,8" } }), { "i-7" });
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 2);
    for (const char* counts : { "3,2", "3,2,8,1", "-1,2,8", "3,99999999999999999999,8", "3, 2,8", "" })
        CHECK_FALSE(dialect.loadOf(answer(200, { { "Server-Load", counts } }), { "i-7" }));
    CHECK_FALSE(load->slowdown);
    CHECK_FALSE(hasField(
        dialect.forwardedFields(answer(200, { { "Server-Load", "3,2,8" }, { "Keep-Alive", "x" } })), "Server-Load"));
}

TEST_CASE("The fourth figure of a load report is the time that work takes [platform]")
{
    const platform_endpoint_dialect dialect;
    const auto loadOf = [&](const char* text) {
        return dialect.loadOf(answer(200, { { "Server-Load", text } }), { "i-7" });
    };
    REQUIRE(loadOf("3,2,8,250"));
    CHECK(loadOf("3,2,8,250")->running == 3);
    CHECK(*loadOf("3,2,8,100")->slowdown == doctest::Approx(1));
    CHECK(*loadOf("3,2,8,250")->slowdown == doctest::Approx(2.5));
    CHECK(*loadOf("3,2,8,87.5")->slowdown == doctest::Approx(0.875));
    // A malformed figure must not make an endpoint look fast or slow.
    for (const char* text : { "3,2,8,", "3,2,8,0", "3,2,8,-100", "3,2,8,inf", "3,2,8,nan", "3,2,8,1e3", "3,2,8, 100",
             "3,2,8,+100", "3,2,8,100%", "3,2,8,99999999", "3,2,8,1.2.3", "3,2,8,100,1" })
        CHECK_FALSE(loadOf(text));
}

TEST_CASE("An endpoint's notices are decoded from any answer [platform]")
{
    const platform_endpoint_dialect dialect;
    CHECK(dialect.noticeOf(answer(200, {}), now).isEmpty());
    for (const unsigned status : { 200U, 500U, 503U })
        CHECK(dialect.noticeOf(answer(status, { { "Server-Leaving", "1" } }), now).isLeaving);
    CHECK_FALSE(dialect.noticeOf(answer(200, { { "Server-Leaving", "0" } }), now).isLeaving);
    const auto quietOf = [&](unsigned status, const std::string& delay) {
        return dialect.noticeOf(answer(status, { { "Retry-After", delay } }), now);
    };
    CHECK(quietOf(503, "2").quietUntil == now + std::chrono::seconds(2));
    CHECK(quietOf(503, "0").quietUntil == now);
    CHECK(quietOf(503, "1.25").quietUntil == now + std::chrono::milliseconds(1250));
    CHECK(quietOf(503, "1.2509").quietUntil == now + std::chrono::milliseconds(1250));
    CHECK(quietOf(503, "99999999999").quietUntil == now + std::chrono::hours(1));
    CHECK(quietOf(200, "2").isEmpty());
    for (const char* delay :
        { "-1", "soon", "1e3", "1.", ".5", "1.x", "nan", "99999999999999999999999", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        CHECK_FALSE(quietOf(503, delay).quietUntil);
        CHECK(quietOf(503, delay).problem);
    }
}
