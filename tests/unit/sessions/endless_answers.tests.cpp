#include "endpoint_session_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

namespace {

const std::string sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: call\r\nResponse-Seal: s\r\n";
const std::string refusalHead = "HTTP/1.1 503 Full\r\nAttempt-Id: call\r\nNot-Executed: 1\r\n";
const std::string otherHead = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\n";
const std::string kilobyte(1024, 'x');

/// The deadline of the attempts. An answer without end must be given up long before.
constexpr auto deadline = 10s;

/// Time within which an answer without end is given up.
constexpr auto limit = 3s;

/// What an endpoint can send before it sees that the connection was closed: what the session reads, and the kernel's
/// buffers of both sides.
constexpr std::size_t sentLimit = 32 * 1024 * 1024;

/// Checks that the attempt ends with this outcome within the limit and closes the connection.
void checkGivenUp(server_script script, attempt_outcome outcome, answer_delivery delivery = answer_delivery::Buffered)
{
    endpoint_session_fixture fixture(std::move(script));
    fixture.start(fixture.attempt(deadline, delivery));
    const auto ended = fixture.outcome(limit);
    REQUIRE(ended);
    CHECK(ended->outcome == outcome);
    CHECK(ended->body.empty());
    CHECK(fixture.isClosed(limit));
    CHECK(fixture.server.sentBytes() < sentLimit);
    CHECK(fixture.duty.outcomes.size() == 1);
    CHECK(fixture.duty.pool.isEmpty());
}

} // namespace

TEST_CASE("A status line without end is given up [endless_answers]")
{
    checkGivenUp({ .opening = "HTTP/1.1 200 ", .repeated = kilobyte }, attempt_outcome::Broken);
}

TEST_CASE("Header lines without end are given up [endless_answers]")
{
    checkGivenUp({ .opening = sealedHead, .repeated = "X-Line: " + kilobyte + "\r\n" }, attempt_outcome::Broken);
}

TEST_CASE("Bytes that are no answer are given up [endless_answers]")
{
    checkGivenUp({ .opening = "no HTTP", .repeated = kilobyte }, attempt_outcome::Broken);
}

TEST_CASE("Interim answers without end are given up [endless_answers]")
{
    checkGivenUp({ .opening = "", .repeated = "HTTP/1.1 102 Processing\r\n\r\n" }, attempt_outcome::Broken);
}

TEST_CASE("A chunk extension without end is given up [endless_answers]")
{
    const auto head = sealedHead + "Transfer-Encoding: chunked\r\n\r\n4;name=";
    checkGivenUp({ .opening = head, .repeated = kilobyte }, attempt_outcome::Broken);
    checkGivenUp({ .opening = head, .repeated = kilobyte }, attempt_outcome::Broken, answer_delivery::Events);
}

TEST_CASE("A trailer without end is given up [endless_answers]")
{
    checkGivenUp({ .opening = sealedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", .repeated = "X-Line: 1\r\n" },
        attempt_outcome::Broken);
}

TEST_CASE("A trailer field that is larger than the HTTP library can store is given up [endless_answers]")
{
    checkGivenUp({ .opening = sealedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Large: " + std::string(70'000, 'x')
                         + "\r\n\r\n" },
        attempt_outcome::Broken);
}

TEST_CASE("An event without end is given up [endless_answers]")
{
    checkGivenUp({ .opening = sealedHead + "\r\nid: 1\ndata: ", .repeated = kilobyte }, attempt_outcome::Broken,
        answer_delivery::Events);
}

TEST_CASE("A buffered body without end is given up [endless_answers]")
{
    checkGivenUp({ .opening = sealedHead + "\r\n", .repeated = kilobyte }, attempt_outcome::Broken);
}

TEST_CASE("The body of another call's answer without end is given up [endless_answers]")
{
    checkGivenUp(
        { .opening = otherHead + "Transfer-Encoding: chunked\r\n\r\n", .repeated = "400\r\n" + kilobyte + "\r\n" },
        attempt_outcome::Broken);
    checkGivenUp({ .opening = otherHead + "Content-Length: 100000000000\r\n\r\n", .repeated = kilobyte },
        attempt_outcome::Broken);
}

TEST_CASE("Another call's answer that sends a byte now and then is given up before the deadline [endless_answers]")
{
    checkGivenUp({ .opening = otherHead + "Content-Length: 100000\r\n\r\n", .repeated = "x", .pause = 20ms },
        attempt_outcome::Broken);
}

TEST_CASE("A refusal whose body never ends is reported at once, and its connection closed [endless_answers]")
{
    for (const auto& script :
        { server_script { .opening = refusalHead + "Content-Length: 100000000000\r\n\r\n", .repeated = kilobyte },
            server_script { .opening = refusalHead + "Content-Length: 100000\r\n\r\n", .repeated = "x", .pause = 20ms },
            server_script { .opening = refusalHead + "Content-Length: 100000\r\n\r\n" } }) {
        const auto before = clock::now();
        checkGivenUp(script, attempt_outcome::Refused);
        CHECK(clock::now() < before + limit);
    }
}

TEST_CASE("A head that arrives a byte now and then ends at the attempt's deadline [endless_answers]")
{
    endpoint_session_fixture fixture({ .opening = "HTTP/1.1 200 ", .repeated = "x", .pause = 20ms });
    fixture.start(fixture.attempt(300ms));
    const auto ended = fixture.outcome(limit);
    REQUIRE(ended);
    CHECK(ended->problem->kind == failure_kind::EndpointTimedOut);
    CHECK(fixture.isClosed(limit));
}

TEST_CASE("A stream that sends a byte now and then ends at the attempt's deadline [endless_answers]")
{
    endpoint_session_fixture fixture({ .opening = sealedHead + "\r\nid: 1\ndata: ", .repeated = "x", .pause = 20ms });
    fixture.start(fixture.attempt(300ms, answer_delivery::Events));
    const auto ended = fixture.outcome(limit);
    REQUIRE(ended);
    CHECK(ended->problem->kind == failure_kind::EndpointTimedOut);
    CHECK(fixture.isClosed(limit));
}
