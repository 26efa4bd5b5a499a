#include "caller_session_fixture.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

namespace {

/// What a caller can send before it sees that the router has closed: what is read and the kernel's buffers.
constexpr std::size_t sentLimit = 32 * 1024 * 1024;

} // namespace

TEST_CASE_FIXTURE(caller_fixture, "A request without end is given up in bounded time and memory [caller_session]")
{
    const auto chunked = requestHead + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& [opening, repeated] :
        { std::pair { std::string("POST /"), kilobyte }, std::pair { requestHead, "X-Line: " + kilobyte + "\r\n" },
            std::pair { chunked + "4;name=", kilobyte }, std::pair { chunked + "0\r\n", std::string("X-Line: 1\r\n") },
            std::pair { chunked, "400\r\n" + kilobyte + "\r\n" } }) {
        const auto closedBefore = duty.closed;
        const auto caller = call(opening, repeated);
        CHECK(until([&] { return duty.closed > closedBefore; }));
        CHECK(caller->sentBytes < sentLimit);
        CHECK(duty.requests.empty());
        caller->close();
    }
}

TEST_CASE_FIXTURE(caller_fixture, "A field that is larger than the HTTP library can store is refused [caller_session]")
{
    const auto large = "X-Large: " + std::string(70'000, 'x') + "\r\n\r\n";
    call(requestHead + large);
    call(requestHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + large);
    CHECK(until([&] { return duty.closed == 2; }));
    CHECK(duty.requests.empty());
    call(requestHead + "\r\n");
    CHECK(until([&] { return duty.requests.size() == 1; }));
}

TEST_CASE_FIXTURE(caller_fixture, "A head that arrives a byte now and then ends at the header timeout [caller_session]")
{
    const auto caller = call("POST /q");
    CHECK(until([&] { return duty.closed == 1; }));
}

TEST_CASE_FIXTURE(caller_fixture, "Pipelined bytes without end are read up to a limit [caller_session]")
{
    const auto caller = call(requestHead + "\r\n", kilobyte);
    CHECK(until([&] { return duty.requests.size() == 1; }));
    runUntil(
        context, [] { return false; }, 300ms);
    CHECK(caller->sentBytes < sentLimit);
    CHECK(duty.abandoned == 0);
    duty.sessions.begin()->second->deliver(reply_to_caller { { 1 }, { .kind = reply_kind::Answered } });
    CHECK(until([&] { return duty.closed == 1; }));
    caller->close();
}

TEST_CASE_FIXTURE(
    caller_fixture, "A caller that leaves while its answer is being written is abandoned [caller_session]")
{
    const auto caller = call(requestHead + "\r\n", {}, false);
    REQUIRE(until([&] { return duty.requests.size() == 1; }));
    const auto session = duty.sessions.begin()->second;
    session->deliver(answer_head { { 1 }, { 200 }, {}, {} });
    for (int chunk = 0; chunk < 64; ++chunk)
        session->deliver(answer_chunk { { 1 }, std::string(1024 * 1024, 'x') });
    runUntil(
        context, [] { return false; }, 50ms);
    caller->close();
    CHECK(until([&] { return duty.closed == 1; }));
    CHECK(duty.abandoned == 1);
    session->deliver(answer_chunk { { 1 }, "late" });
    runUntil(
        context, [] { return false; }, 50ms);
}

TEST_CASE_FIXTURE(caller_fixture, "An answer that is broken off has no last chunk [caller_session]")
{
    const auto caller = call(requestHead + "\r\n");
    REQUIRE(until([&] { return duty.requests.size() == 1; }));
    const auto session = duty.sessions.begin()->second;
    session->deliver(answer_head { { 1 }, { 200 }, {}, {} });
    session->deliver(answer_chunk { { 1 }, "half" });
    REQUIRE(until([&] { return duty.acknowledged == 1; }));
    session->deliver(reply_to_caller { { 1 }, { .kind = reply_kind::Unknown, .problem = failure {} } });
    REQUIRE(until([&] { return caller->isClosed; }));
    CHECK(caller->received.ends_with("4\r\nhalf\r\n"));
}

// ORDER: the error of the endpoint that should have continued a stream must not follow the stream's bytes.
TEST_CASE_FIXTURE(caller_fixture,
    "An answer that is broken off while its bytes wait to be written has neither a last chunk nor a second head "
    "[caller_session]")
{
    const std::string megabyte(1024 * 1024, 'x');
    const call_reply broken { .kind = reply_kind::Unknown, .problem = failure { failure_kind::EndpointBroke } };
    const call_reply error { .kind = reply_kind::Answered, .problem = {}, .status = { 500 }, .body = "failed" };
    for (const auto& reply : { broken, error }) {
        for (const int chunks : { 0, 1, 16 }) {
            CAPTURE(chunks);
            const auto caller = call(requestHead + "\r\n");
            REQUIRE(until([&] { return duty.sessions.size() == 1; }));
            const auto id = duty.sessions.begin()->first;
            const auto session = duty.sessions.begin()->second;
            session->deliver(answer_head { id, { 200 }, {}, {} });
            for (int chunk = 0; chunk < chunks; ++chunk)
                session->deliver(answer_chunk { id, megabyte });
            session->deliver(reply_to_caller { id, reply });
            REQUIRE(until([&] { return caller->isClosed; }));
            CHECK(duty.sessions.empty());
            CHECK_FALSE(caller->received.ends_with("0\r\n\r\n"));
            CHECK(caller->received.find("HTTP/1.1", 1) == std::string::npos);
            CHECK(caller->received.find("failed") == std::string::npos);
        }
    }
}

TEST_CASE_FIXTURE(caller_fixture, "An unexpected error ends one session and no other [caller_session]")
{
    duty.throwsOnSubmit = true;
    const auto caller = call(requestHead + "\r\n");
    CHECK(until([&] { return caller->isClosed; }));
    CHECK(duty.closed == 1);
    duty.throwsOnSubmit = false;
    call(requestHead + "\r\n");
    CHECK(until([&] { return duty.requests.size() == 1; }));
}

// DENIED: a raised limit was not in force on connections that had been idle since before the change.
TEST_CASE_FIXTURE(caller_fixture, "Changed limits hold for the next request of an idle connection [caller_session]")
{
    const auto requestOf = [](std::size_t size) {
        return requestHead + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
    };
    const auto small = duty.limits().body.value / 2;
    const auto large = duty.limits().body.value * 2;
    const auto caller = call(requestOf(small));
    REQUIRE(until([&] { return duty.requests.size() == 1; }));
    duty.sessions.begin()->second->deliver(reply_to_caller { { 1 }, { .kind = reply_kind::Answered } });
    REQUIRE(until([&] { return caller->received.find("200 OK") != std::string::npos; }));
    // The session waits for its next request from here on.
    runUntil(
        context, [] { return false; }, 50ms);
    auto changed = duty.limits();
    SUBCASE("a raised body limit")
    {
        changed.body = { large };
        duty.setLimits(changed);
        caller->send(requestOf(large));
        CHECK(until([&] { return duty.requests.size() == 2; }));
    }
    SUBCASE("a lowered body limit")
    {
        changed.body = { small / 2 };
        duty.setLimits(changed);
        caller->send(requestOf(small));
        CHECK(until([&] { return caller->received.find("413") != std::string::npos; }));
        CHECK(duty.requests.size() == 1);
    }
    SUBCASE("a raised header limit")
    {
        changed.header = { 32 * 1024 };
        duty.setLimits(changed);
        caller->send(requestHead + "X-Long: " + std::string(20 * 1024, 'x') + "\r\n\r\n");
        CHECK(until([&] { return duty.requests.size() == 2; }));
    }
    SUBCASE("a raised idle timeout")
    {
        changed.idleTimeout = 3s;
        duty.setLimits(changed);
        runUntil(
            context, [] { return false; }, 1500ms);
        CHECK_FALSE(caller->isClosed);
        caller->send(requestOf(small));
        CHECK(until([&] { return duty.requests.size() == 2; }));
    }
}

TEST_CASE_FIXTURE(caller_fixture, "A connection without a request is closed at the idle timeout [caller_session]")
{
    const auto opened = clock::now();
    const auto caller = call("");
    CHECK(until([&] { return duty.closed == 1; }));
    CHECK(clock::now() >= opened + duty.limits().idleTimeout);
    CHECK(clock::now() < opened + duty.limits().idleTimeout + 500ms);
}

// LOST: a request that arrived while the event loop was late was closed with its connection, unread.
TEST_CASE_FIXTURE(
    caller_fixture, "A request that arrives before its connection's idle timer is handled is read [caller_session]")
{
    const auto caller = call("");
    REQUIRE(until([&] { return duty.lastWaiting != nullptr; }));
    runUntil(
        context, [] { return false; }, 50ms);
    // Both timers expire while the event loop stands still. The request arrives in the handler of the first one.
    deadline_timer arrival(context);
    arrival.expires_after(500ms);
    arrival.async_wait([&](auto) { caller->sendNow(requestHead + "\r\n"); });
    std::this_thread::sleep_for(duty.limits().idleTimeout + 100ms);
    CHECK(until([&] { return duty.requests.size() == 1; }));
    CHECK(duty.closed == 0);
}
