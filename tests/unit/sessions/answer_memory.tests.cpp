#include "kumquatbeam/sessions/answer_memory.hpp"
#include "kumquatbeam/sessions/block_buffer.hpp"

#include "endpoint_session_fixture.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

// LOST, memory over the limit: many answers without end, each within its own limit, took all memory of the process.
TEST_CASE("If all answers together hold too much, the largest one is given up [answer_memory]")
{
    answer_memory memory({ 1000 });
    CHECK_FALSE(memory.record({ 1 }, { 400 }));
    CHECK_FALSE(memory.record({ 2 }, { 500 }));
    CHECK_FALSE(memory.record({ 3 }, { 100 }));
    CHECK(memory.held().value == 1000);
    CHECK(memory.record({ 3 }, { 101 }) == request_id { 2 });
    memory.release({ 2 });
    CHECK(memory.held().value == 501);
    CHECK_FALSE(memory.record({ 1 }, { 899 }));
    CHECK(memory.record({ 1 }, { 950 }) == request_id { 1 });
}

TEST_CASE("An answer that shrinks or is forgotten frees its memory [answer_memory]")
{
    answer_memory memory({ 1000 });
    CHECK_FALSE(memory.record({ 1 }, { 900 }));
    CHECK_FALSE(memory.record({ 1 }, { 100 }));
    CHECK(memory.held().value == 100);
    memory.release({ 1 });
    memory.release({ 1 });
    CHECK(memory.held().value == 0);
}

TEST_CASE("A buffer returns its bytes in order and holds little more than these [answer_memory]")
{
    block_buffer buffer;
    CHECK(buffer.take().empty());
    std::string expected;
    for (std::size_t size :
        { std::size_t { 1 }, block_buffer::blockSize - 1, std::size_t { 100 }, 3 * block_buffer::blockSize }) {
        const std::string bytes(size, static_cast<char>('a' + expected.size() % 26));
        buffer.append(bytes);
        expected += bytes;
        CHECK(buffer.size() == expected.size());
        CHECK(buffer.heldBytes() >= expected.size());
        CHECK(buffer.heldBytes() <= expected.size() + block_buffer::blockSize);
    }
    CHECK(buffer.take() == expected);
    CHECK(buffer.size() == 0);
    CHECK(buffer.heldBytes() == 0);
}

TEST_CASE("A session records what it holds of its answer, and nothing once it has ended [answer_memory]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: call\r\nResponse-Seal: s\r\n";
    const std::string body(300'000, 'x');
    const std::string event = "id: 1\ndata: " + std::string(100'000, 'x');
    struct framing {
        std::string fields;
        const std::string& body;
        answer_delivery delivery;
    };
    for (const auto& answer :
        { framing { "Content-Length: 400000\r\n\r\n", body, answer_delivery::Buffered },
            framing { "Transfer-Encoding: chunked\r\n\r\n7a120\r\n", body, answer_delivery::Buffered },
            framing { "\r\n", body, answer_delivery::Buffered }, framing { "\r\n", event, answer_delivery::Events } }) {
        auto opening = head;
        opening.append(answer.fields).append(answer.body);
        const auto heldAtLeast = answer.body.size();
        endpoint_session_fixture fixture({ .opening = opening });
        const auto session = fixture.start(fixture.attempt(5s, answer.delivery));
        CHECK(runUntil(
            fixture.context, [&] { return fixture.duty.heldBytes.value >= heldAtLeast; }, 2s));
        CHECK(fixture.duty.heldBytes.value < 2 * heldAtLeast + 64 * 1024);
        session->giveUpAnswer();
        REQUIRE(fixture.duty.outcomes.size() == 1);
        CHECK(fixture.duty.outcomes.front().problem->kind == failure_kind::AnswerTooLarge);
        CHECK(fixture.duty.heldBytes.value == 0);
        CHECK(fixture.isClosed(2s));
    }
}
