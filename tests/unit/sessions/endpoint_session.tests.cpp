#include "endpoint_session_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

namespace {

const std::string sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: call\r\nResponse-Seal: s\r\n";
const std::string refusalHead = "HTTP/1.1 503 Full\r\nAttempt-Id: call\r\nNot-Executed: 1\r\n";

} // namespace

TEST_CASE("A timed-out attempt leaves no operation on a freed connection [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = "" });
    fixture.start(fixture.attempt(100ms));
    const auto ended = fixture.outcome(2s);
    REQUIRE(ended);
    CHECK(ended->outcome == attempt_outcome::Broken);
    CHECK(ended->problem->kind == failure_kind::EndpointTimedOut);
    CHECK(fixture.isClosed(2s));
}

TEST_CASE("An attempt cancelled in its answer's body leaves no operation on a freed connection [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = sealedHead + "Content-Length: 100\r\n\r\nhalf" });
    const auto session = fixture.start(fixture.attempt(5s));
    runUntil(
        fixture.context, [&] { return fixture.server.sentBytes() > 0; }, 2s);
    runUntil(
        fixture.context, [] { return false; }, 50ms);
    session->cancel();
    REQUIRE(fixture.duty.outcomes.size() == 1);
    CHECK(fixture.duty.outcomes.front().problem->kind == failure_kind::CallerGone);
    CHECK(fixture.isClosed(2s));
}

TEST_CASE("An attempt cancelled while it connects leaves no operation on a freed connection [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = "" });
    fixture.start(fixture.attempt(5s))->cancel();
    REQUIRE(fixture.duty.outcomes.size() == 1);
    CHECK(fixture.duty.outcomes.front().outcome == attempt_outcome::NotSent);
    runUntil(
        fixture.context, [] { return false; }, 50ms);
}

TEST_CASE("An attempt that ends while its request is being written keeps the request alive [endpoint_session]")
{
    endpoint_session_fixture fixture({ .reads = false });
    auto attempt = fixture.attempt(1s);
    auto call = *attempt.call;
    // More than the kernel buffers.
    call.body.assign(16 * 1024 * 1024, 'x');
    attempt.call = std::make_shared<const call_request>(std::move(call));
    fixture.start(std::move(attempt));
    const auto ended = fixture.outcome(3s);
    REQUIRE(ended);
    CHECK(ended->outcome == attempt_outcome::Broken);
    runUntil(
        fixture.context, [] { return false; }, 50ms);
}

TEST_CASE("A refusal is reported before the rest of its answer has arrived [endpoint_session]")
{
    endpoint_session_fixture fixture(
        { .opening = refusalHead + "Content-Length: 4\r\n\r\n", .pause = 150ms, .ending = "full" });
    const auto before = clock::now();
    fixture.start(fixture.attempt(5s));
    const auto ended = fixture.outcome(2s);
    REQUIRE(ended);
    CHECK(ended->outcome == attempt_outcome::Refused);
    CHECK(clock::now() < before + 140ms);
    CHECK(fixture.duty.pool.isEmpty());
    // The connection carries another call once the rest has arrived.
    CHECK(runUntil(
        fixture.context, [&] { return !fixture.duty.pool.isEmpty(); }, 2s));
    CHECK(fixture.server.closedConnections() == 0);
}

TEST_CASE("A connection is used again only after an answer that names its call [endpoint_session]")
{
    for (const bool isNamed : { true, false }) {
        endpoint_session_fixture fixture(
            { .opening = std::string("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n")
                    + (isNamed ? "Attempt-Id: call\r\n\r\n" : "\r\n") });
        fixture.start(fixture.attempt(5s));
        const auto ended = fixture.outcome(2s);
        REQUIRE(ended);
        CHECK(ended->outcome == attempt_outcome::Refused);
        CHECK(fixture.duty.pool.isEmpty() == !isNamed);
    }
}

TEST_CASE("A late second copy of an answer does not reach the next call on the connection [endpoint_session]")
{
    const auto copy = sealedHead + "Content-Length: 3\r\n\r\nown";
    endpoint_session_fixture fixture({ .opening = copy, .pause = 60ms, .ending = copy });
    fixture.start(fixture.attempt(5s));
    REQUIRE(fixture.outcome(2s));
    CHECK(fixture.duty.outcomes.front().body == "own");
    // The next call starts before the copy arrives, so only the copy's id shows that it is not the answer.
    auto next = fixture.attempt(400ms);
    auto call = *next.call;
    call.callerRequestId = { "next" };
    next.call = std::make_shared<const call_request>(std::move(call));
    fixture.duty.outcomes.clear();
    fixture.start(std::move(next));
    CHECK(fixture.server.connections() == 1);
    const auto ended = fixture.outcome(2s);
    REQUIRE(ended);
    CHECK(ended->outcome == attempt_outcome::Broken);
    CHECK(ended->body.empty());
}

TEST_CASE("Bytes on an idle connection close it [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = sealedHead + "Content-Length: 3\r\n\r\nown", .repeated = "more" });
    fixture.start(fixture.attempt(5s));
    REQUIRE(fixture.outcome(2s));
    runUntil(
        fixture.context, [&] { return fixture.server.sentBytes() > 100'000; }, 2s);
    CHECK(fixture.duty.pool.take(fixture.attempt(1s).to, false, clock::now()) == nullptr);
    CHECK(fixture.isClosed(2s));
}

TEST_CASE("An answer that the endpoint resets midway is not complete [endpoint_session]")
{
    for (const auto& framing : { std::string("Content-Length: 100\r\n\r\nhalf"), std::string("\r\nhalf"),
             std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n") }) {
        for (const auto delivery : { answer_delivery::Buffered, answer_delivery::Events }) {
            endpoint_session_fixture fixture({ .opening = sealedHead + framing, .resets = true });
            fixture.start(fixture.attempt(2s, delivery));
            const auto ended = fixture.outcome(3s);
            REQUIRE(ended);
            CHECK(ended->outcome == attempt_outcome::Broken);
        }
    }
}

TEST_CASE("What an endpoint says about itself is reported with the head of its answer [endpoint_session]")
{
    endpoint_session_fixture fixture(
        { .opening = sealedHead + "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" });
    fixture.start(fixture.attempt(5s, answer_delivery::Events));
    CHECK(runUntil(
        fixture.context, [&] { return fixture.duty.notices.size() == 1; }, 2s));
    CHECK(fixture.duty.notices.front().isLeaving);
    CHECK(fixture.duty.outcomes.empty());
}

TEST_CASE("What another endpoint at a reused address says is not reported [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = "HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n\r\n" });
    fixture.start(fixture.attempt(5s));
    REQUIRE(fixture.outcome(2s));
    CHECK(fixture.duty.outcomes.front().outcome == attempt_outcome::Refused);
    CHECK(fixture.duty.notices.empty());
}
