#include "routing_fixture.hpp"

using namespace kumquatbeam;

// LOST: streams were cut seconds before their callers stopped waiting.
TEST_CASE_FIXTURE(
    routing_fixture, "An answer may take until its caller has surely stopped waiting, but starts before [routing]")
{
    publishAll();
    call_request call;
    call.deadline = now + std::chrono::seconds(4);
    call.sendBefore = now + std::chrono::seconds(2);
    const auto id = sendRequest("/plan/1", call);
    REQUIRE(attempts() == 1);
    CHECK(lastAttempt()->deadline == call.deadline);
    CHECK(lastAttempt()->sendBefore == call.sendBefore);
    SUBCASE("no further attempt starts after the time at which the caller may have stopped waiting")
    {
        pass(std::chrono::milliseconds(2100));
        handle(attemptEnd(id, attempt_outcome::NotSent, failure_kind::EndpointUnreachable));
        CHECK(attempts() == 1);
        CHECK(replyTo(id)->kind == reply_kind::NotRun);
    }
    SUBCASE("a request whose caller may have stopped waiting is not passed on")
    {
        call.sendBefore = now;
        const auto late = sendRequest("/plan/2", call);
        CHECK(attempts() == 1);
        CHECK(replyTo(late)->problem->kind == failure_kind::DeadlinePassed);
    }
}

// LOST: a stream that its caller was reading was not resumed in the last second before the deadline.
TEST_CASE_FIXTURE(routing_fixture, "A stream that its caller reads is resumed until the deadline [routing]")
{
    publishAll();
    call_request call;
    call.deadline = now + std::chrono::seconds(4);
    call.sendBefore = now + std::chrono::seconds(2);
    const auto id = sendRequest("/plan/1", call);
    pass(std::chrono::milliseconds(2500));
    auto ended = attemptEnd(id, attempt_outcome::Broken);
    ended.isRelayed = true;
    ended.relayedBytes = { 100 };
    ended.lastEvent = event_number { 3 };
    handle(ended);
    REQUIRE(attempts() == 2);
    CHECK(lastAttempt()->resumeAfter == ended.lastEvent);
    CHECK(lastAttempt()->sendBefore > now);
    CHECK(lastAttempt()->deadline == call.deadline);
}

// BUDGET: a repeat was given time beyond the deadline of its caller.
TEST_CASE_FIXTURE(routing_fixture, "A repeat ends when its caller may have stopped waiting [routing]")
{
    publishAll();
    call_request call;
    call.deadline = now + std::chrono::seconds(4);
    call.sendBefore = now + std::chrono::seconds(3);
    const auto id = sendRequest("/lookup/1", call);
    CHECK(lastAttempt()->deadline == now + std::chrono::seconds(2));
    pass(std::chrono::milliseconds(2000));
    handle(attemptEnd(id, attempt_outcome::Broken, failure_kind::EndpointTimedOut));
    REQUIRE(attempts() == 2);
    CHECK(lastAttempt()->deadline == call.sendBefore);
}

TEST_CASE_FIXTURE(routing_fixture, "An attempt gets all the time if no other can start after half of it [routing]")
{
    publishAll();
    call_request call;
    call.deadline = now + std::chrono::seconds(4);
    call.sendBefore = now + std::chrono::seconds(1);
    sendRequest("/lookup/1", call);
    CHECK(lastAttempt()->deadline == call.deadline);
}

// LOST: a stream that ran longer than a confirmation of the keys holds was not resumed when its engine left.
TEST_CASE_FIXTURE(routing_fixture, "A further attempt depends on the account keys as they are known then [routing]")
{
    publishAll();
    const auto id = sendRequest("/plan/1");
    REQUIRE(attempts() == 1);
    pass(std::chrono::milliseconds(4000));
    auto ended = attemptEnd(id, attempt_outcome::Broken);
    ended.isRelayed = true;
    ended.relayedBytes = { 100 };
    ended.lastEvent = event_number { 3 };
    SUBCASE("it is sent if the key was confirmed again")
    {
        publish(table(1));
        pass(std::chrono::milliseconds(1000));
        handle(ended);
        REQUIRE(attempts() == 2);
        CHECK(lastAttempt()->sendBefore > now);
    }
    SUBCASE("it is not sent if the key was taken away")
    {
        auto without = table(2);
        without->accountsByDigest.clear();
        publish(without);
        handle(ended);
        CHECK(attempts() == 1);
        CHECK(replyTo(id)->kind == reply_kind::Unknown);
    }
}
