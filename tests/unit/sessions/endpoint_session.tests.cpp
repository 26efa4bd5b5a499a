#include "endpoint_session_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

namespace {

const std::string sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: call\r\nResponse-Seal: s\r\n";
const std::string refusalHead = "HTTP/1.1 503 Full\r\nAttempt-Id: call\r\nNot-Executed: 1\r\n";

/// Forgets the outcomes so far, and starts an attempt at the call with the id `next`.
void startNextCall(endpoint_session_fixture& fixture)
{
    auto next = fixture.attempt(400ms);
    auto call = *next.call;
    call.callerRequestId = { "next" };
    next.call = std::make_shared<const call_request>(std::move(call));
    fixture.duty.outcomes.clear();
    fixture.start(std::move(next));
}

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
    startNextCall(fixture);
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

TEST_CASE("The load that an endpoint reports in the head of a stream is passed on with the head [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = sealedHead
            + "Server-Load: 3,2,8,250\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n" });
    fixture.start(fixture.attempt(5s, answer_delivery::Events));
    REQUIRE(runUntil(
        fixture.context, [&] { return !fixture.duty.relayed.empty(); }, 2s));
    const auto* head = std::get_if<answer_head>(&fixture.duty.relayed.front());
    REQUIRE(head);
    REQUIRE(head->load);
    CHECK(head->load->endpoint.value == "engine");
    CHECK(head->load->waiting == 2);
    CHECK(head->load->slowdown == 2.5);
}

TEST_CASE("What another endpoint at a reused address says is not reported [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = "HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n\r\n" });
    fixture.start(fixture.attempt(5s));
    REQUIRE(fixture.outcome(2s));
    CHECK(fixture.duty.outcomes.front().outcome == attempt_outcome::Refused);
    CHECK(fixture.duty.notices.empty());
}

// DRAIN, TWICE: a request held up by a cut reached its endpoint seconds after it had been given up, since its
// connection was closed but not reset.
TEST_CASE("An attempt that is given up resets its connection, so that nothing of it arrives later [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = "" });
    SUBCASE("by its deadline")
    {
        fixture.start(fixture.attempt(100ms));
    }
    SUBCASE("by its caller")
    {
        const auto session = fixture.start(fixture.attempt(5s));
        runUntil(
            fixture.context, [&] { return fixture.server.requests() > 0; }, 2s);
        session->cancel();
    }
    REQUIRE(fixture.outcome(2s));
    CHECK(fixture.isClosed(2s));
    CHECK(fixture.server.resets() == 1);
}

// DRAIN: an attempt that was still connecting reached an endpoint after the router had learnt that it leaves.
TEST_CASE("An attempt that is withdrawn while it connects sends nothing [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = sealedHead + "Content-Length: 3\r\n\r\nown" });
    const auto session = fixture.start(fixture.attempt(5s));
    REQUIRE(session->isUnsent());
    session->withdraw();
    REQUIRE(fixture.duty.outcomes.size() == 1);
    CHECK(fixture.duty.outcomes.front().outcome == attempt_outcome::NotSent);
    runUntil(
        fixture.context, [] { return false; }, 100ms);
    CHECK(fixture.server.requests() == 0);

    const auto sent = fixture.start(fixture.attempt(5s));
    REQUIRE(runUntil(
        fixture.context, [&] { return fixture.duty.outcomes.size() == 2; }, 2s));
    CHECK_FALSE(sent->isUnsent());
}

TEST_CASE("A connection that is closed after a whole answer is not reset [endpoint_session]")
{
    endpoint_session_fixture fixture({ .opening = sealedHead + "Connection: close\r\nContent-Length: 3\r\n\r\nown" });
    fixture.start(fixture.attempt(5s));
    REQUIRE(fixture.outcome(2s));
    CHECK(fixture.isClosed(2s));
    CHECK(fixture.server.resets() == 0);
}

namespace {

/// Has an answer of the call "call" and then, while the call "next" runs on the same connection, additional bytes that
/// name no call and the answer of "next". Returns the outcome of "next".
std::optional<attempt_ended> outcomeBehind(const std::string& additionalBytes, const std::string& ownAnswer)
{
    endpoint_session_fixture fixture({ .opening = sealedHead + "Content-Length: 3\r\n\r\nown" });
    fixture.start(fixture.attempt(5s));
    if (!fixture.outcome(2s))
        return std::nullopt;
    fixture.server.sendOnNextRequest(additionalBytes + ownAnswer);
    startNextCall(fixture);
    auto ended = fixture.outcome(2s);
    CHECK(fixture.server.connections() == 1);
    // Whatever comes next on this connection cannot be told from further bytes of that kind.
    CHECK(fixture.duty.pool.isEmpty());
    return ended;
}

const std::string nextAnswer
    = "HTTP/1.1 200 OK\r\nAttempt-Id: next\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nnext";

} // namespace

// REFUSED, TWICE: an earlier refusal, written once more, was taken for the refusal of the request that ran behind it.
TEST_CASE("Bytes that name no call on a used connection are no answer to the call behind them [endpoint_session]")
{
    for (const std::string bytes : { "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
             "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
             "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Full\r\nAttempt-Id: call\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" }) {
        const auto answered = outcomeBehind(bytes, nextAnswer);
        REQUIRE(answered);
        CHECK(answered->outcome == attempt_outcome::Completed);
        CHECK(answered->body == "next");
        const auto unanswered = outcomeBehind(bytes, "");
        REQUIRE(unanswered);
        CHECK(unanswered->outcome == attempt_outcome::Broken);
    }
}

TEST_CASE("Bytes without a length that name no call leave the outcome of the call behind them open [endpoint_session]")
{
    for (const std::string bytes : { "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n", "HTTP/1.1 400 Bad Request\r\n\r\n",
             "HTTP/1.1 421 Misdirected Request\r\n\r\n", "no HTTP at all\r\n\r\n" }) {
        const auto ended = outcomeBehind(bytes, nextAnswer);
        REQUIRE(ended);
        CHECK(ended->outcome == attempt_outcome::Broken);
        CHECK(ended->body.empty());
    }
}

TEST_CASE("A refusal that names no call counts on a connection that has carried no other call [endpoint_session]")
{
    for (const std::string bytes : { "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" }) {
        endpoint_session_fixture fixture({ .opening = bytes });
        fixture.start(fixture.attempt(5s));
        const auto ended = fixture.outcome(2s);
        REQUIRE(ended);
        CHECK(ended->outcome == attempt_outcome::Refused);
    }
}

TEST_CASE("A refusal that names no call does not count behind another answer [endpoint_session]")
{
    endpoint_session_fixture fixture(
        { .opening = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n"
                     "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" });
    fixture.start(fixture.attempt(300ms));
    const auto ended = fixture.outcome(2s);
    REQUIRE(ended);
    CHECK(ended->outcome == attempt_outcome::Broken);
}

// DENIED, MIXED: a server that is no endpoint answered 404 without naming the call, and the caller got that as its
// answer.
TEST_CASE("A failure that names no call is not the endpoint's answer [endpoint_session]")
{
    for (const std::string status : { "404 Not Found", "400 Bad Request", "500 Failed" }) {
        endpoint_session_fixture fixture({ .opening = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n" });
        fixture.start(fixture.attempt(5s));
        const auto ended = fixture.outcome(2s);
        REQUIRE(ended);
        CHECK(ended->outcome == attempt_outcome::Broken);
        CHECK(ended->problem->kind == failure_kind::AnswerMismatched);
    }
}
