#include "caller_session_fixture.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

// LOST, memory over the limit: requests that stop short of their end held the memory of the process.
TEST_CASE_FIXTURE(caller_fixture,
    "An incomplete request that is dropped is refused as not run, and frees its memory [caller_session]")
{
    const std::string body(300'000, 'x');
    std::string smallChunks;
    for (int chunk = 0; chunk < 30'000; ++chunk)
        smallChunks += "1\r\nx\r\n";
    struct incomplete_request {
        std::string opening;
        std::size_t least;
        std::size_t most;
    };
    std::vector<incomplete_request> incomplete { { "Content-Length: 1000000\r\n\r\n", body.size(), 400'000 },
        { "Transfer-Encoding: chunked\r\n\r\n7a120\r\n", body.size(), 400'000 },
        { "Transfer-Encoding: chunked\r\n\r\n", 30'000, 100'000 }, { "X-Line: 1", 1, 17'000 } };
    incomplete[0].opening += body;
    incomplete[1].opening += body;
    incomplete[2].opening += smallChunks;
    for (const auto& request : incomplete) {
        const auto closedBefore = duty.closed;
        const auto caller = call(requestHead + request.opening);
        REQUIRE(until([&] { return duty.mostDroppable.value >= request.least; }));
        CHECK(duty.mostDroppable.value < request.most);
        REQUIRE(duty.lastRecorded);
        duty.lastRecorded->dropForMemory();
        CHECK(until([&] { return caller->received.find("503") != std::string::npos; }));
        CHECK(caller->received.find("Retry-After") != std::string::npos);
        CHECK(duty.droppable.value < 32 * 1024);
        caller->close();
        CHECK(until([&] { return duty.closed > closedBefore; }));
        CHECK(duty.requests.empty());
        duty.mostDroppable = {};
    }
}

TEST_CASE_FIXTURE(caller_fixture, "A connection that says nothing holds no buffer [caller_session]")
{
    const auto silent = call("");
    const auto caller = call(requestHead + "\r\n");
    REQUIRE(until([&] { return duty.requests.size() == 1; }));
    CHECK(duty.droppable.value == 0);
    CHECK(duty.fixed.value > 0);
    duty.sessions.begin()->second->deliver(reply_to_caller { { 1 }, { .kind = reply_kind::Answered } });
    REQUIRE(until([&] { return caller->received.find("200 OK") != std::string::npos; }));
    runUntil(
        context, [] { return false; }, 50ms);
    CHECK(duty.droppable.value == 0);
    CHECK(duty.fixed.value == 0);
}

TEST_CASE_FIXTURE(caller_fixture, "A reply that is not read counts until its connection is dropped [caller_session]")
{
    const auto caller = call(requestHead + "\r\n", {}, false);
    REQUIRE(until([&] { return duty.requests.size() == 1; }));
    const auto session = duty.sessions.begin()->second;
    constexpr std::size_t size = 32 * 1024 * 1024;
    session->deliver(reply_to_caller { { 1 }, { .kind = reply_kind::Answered, .body = std::string(size, 'x') } });
    runUntil(
        context, [] { return false; }, 50ms);
    CHECK(duty.droppable.value >= size);
    CHECK(duty.fixed.value == 0);
    CHECK_FALSE(session->closeIfWaiting(clock::now()));
    session->dropForMemory();
    CHECK(duty.closed == 1);
    CHECK(duty.abandoned == 0);
}

TEST_CASE_FIXTURE(
    caller_fixture, "A request that the memory does not suffice for is refused as not run [caller_session]")
{
    duty.hasMemory = false;
    const auto caller = call(requestHead + "\r\n");
    CHECK(until([&] { return caller->received.find("503") != std::string::npos; }));
    CHECK(duty.requests.empty());
    duty.hasMemory = true;
    caller->send(requestHead + "\r\n");
    CHECK(until([&] { return duty.requests.size() == 1; }));
}

TEST_CASE_FIXTURE(caller_fixture, "A connection is closed for another caller only while it waits [caller_session]")
{
    const auto idle = call("");
    REQUIRE(until([&] { return duty.lastWaiting != nullptr; }));
    const auto idleSession = duty.lastWaiting->shared_from_this();
    const auto incomplete = call("POST /q");
    REQUIRE(until([&] { return duty.mostDroppable.value > 0; }));
    const auto incompleteSession = duty.lastRecorded->shared_from_this();
    const auto running = call(requestHead + "\r\n");
    REQUIRE(until([&] { return duty.requests.size() == 1; }));
    CHECK_FALSE(duty.sessions.begin()->second->closeIfWaiting(clock::now()));
    CHECK(idleSession->closeIfWaiting(clock::now()));
    CHECK(incompleteSession->closeIfWaiting(clock::now()));
    CHECK(duty.closed == 2);
}
