#include "routing_fixture.hpp"

using namespace kumquatbeam;

TEST_CASE_FIXTURE(routing_fixture, "A router without a route table says that it is not ready [routing]")
{
    const auto reply = replyTo(sendRequest("/lookup/1"));
    REQUIRE(reply);
    CHECK(reply->kind == reply_kind::NotRun);
    CHECK(reply->problem->kind == failure_kind::NotReady);
    CHECK(commands.all<set_ready>().empty());
}

TEST_CASE_FIXTURE(routing_fixture, "A router is ready once it knows routes and an endpoint [routing]")
{
    publish(table(1));
    CHECK(commands.all<set_ready>().empty());
    announce({ endpoint("b1", "book") });
    REQUIRE(commands.all<set_ready>().size() == 1);
    CHECK(commands.all<set_ready>().back().isReady);
}

TEST_CASE_FIXTURE(routing_fixture, "An older table never replaces a newer one [routing]")
{
    publishAll();
    auto newer = table(5);
    newer->routes.clear();
    publish(newer);
    publish(table(4));
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::UnknownRoute);
}

TEST_CASE_FIXTURE(routing_fixture, "Keys that are not confirmed end before the revocation bound [routing]")
{
    publishAll();
    pass(std::chrono::milliseconds(3100));
    CHECK_FALSE(commands.all<set_ready>().back().isReady);
    sendRequest("/lookup/1");
    CHECK(attempts() == 1);
    CHECK(lastAttempt()->sendBefore <= now + std::chrono::milliseconds(1900));
    pass(std::chrono::milliseconds(1500));
    CHECK(replyTo(sendRequest("/lookup/2"))->problem->kind == failure_kind::KeysStale);
    SUBCASE("public routes go on")
    {
        sendRequest("/open/1");
        CHECK(attempts() == 2);
    }
    SUBCASE("a confirmation brings them back")
    {
        publish(table(1));
        sendRequest("/lookup/3");
        CHECK(attempts() == 2);
        CHECK(commands.all<set_ready>().back().isReady);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "A key that was taken away is refused with the table that lacks it [routing]")
{
    publishAll();
    auto without = table(2);
    without->accountsByDigest.clear();
    publish(without);
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::UnknownAccount);
}

TEST_CASE_FIXTURE(routing_fixture, "A call that may run once is never sent again after a byte went out [routing]")
{
    publishAll();
    for (const char* path : { "/order/1", "/quote/1" }) {
        const auto id = sendRequest(path);
        const auto before = attempts();
        handle(attemptEnd(id, attempt_outcome::Broken));
        CHECK(attempts() == before);
        CHECK(replyTo(id)->kind == reply_kind::Unknown);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "A call that did not run goes to another endpoint [routing]")
{
    publishAll();
    const auto id = sendRequest("/order/1");
    const auto first = lastAttempt()->to.endpoint;
    SUBCASE("when no byte went out")
    {
        handle(attemptEnd(id, attempt_outcome::NotSent, failure_kind::EndpointUnreachable));
    }
    SUBCASE("when the endpoint said so")
    {
        handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    }
    CHECK(attempts() == 2);
    CHECK(lastAttempt()->to.endpoint != first);
}

TEST_CASE_FIXTURE(routing_fixture, "The attempts that a route allows are kept to [routing]")
{
    publishAll();
    const auto id = sendRequest("/order/1");
    handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    CHECK(attempts() == 2);
    CHECK(replyTo(id)->kind == reply_kind::NotRun);
}

TEST_CASE_FIXTURE(routing_fixture,
    "An idempotent call whose endpoint failed is tried once more, and the last answer stands [routing]")
{
    publishAll();
    const auto id = sendRequest("/lookup/1");
    auto failed = attemptEnd(id, attempt_outcome::Completed);
    failed.status = { 500 };
    handle(failed);
    CHECK(attempts() == 2);
    auto again = attemptEnd(id, attempt_outcome::Completed);
    again.status = { 500 };
    handle(again);
    CHECK(attempts() == 2);
    CHECK(replyTo(id)->kind == reply_kind::Answered);
    CHECK(replyTo(id)->status.value == 500);
}

TEST_CASE_FIXTURE(routing_fixture, "A stream that may be resumed goes on after the last event elsewhere [routing]")
{
    publishAll();
    const auto id = sendRequest("/plan/1");
    auto broken = attemptEnd(id, attempt_outcome::Broken);
    broken.relayedBytes = { 100 };
    broken.lastEvent = event_number { 4 };
    handle(broken);
    CHECK(attempts() == 2);
    CHECK(lastAttempt()->resumeAfter == event_number { 4 });
}

TEST_CASE_FIXTURE(routing_fixture, "The retry budget ends repeats [routing]")
{
    publishAll();
    int repeats = 0;
    for (int i = 0; i < 200; ++i) {
        const auto id = sendRequest("/lookup/1");
        const auto before = attempts();
        auto failed = attemptEnd(id, attempt_outcome::Completed);
        failed.status = { 500 };
        handle(failed);
        if (attempts() > before) {
            ++repeats;
            handle(attemptEnd(id, attempt_outcome::Completed));
        }
    }
    CHECK(repeats <= 50);
    CHECK(repeats >= 40);
}

TEST_CASE_FIXTURE(routing_fixture,
    "An endpoint whose address another one has is not used for a moment, or until the directory changes [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book") });
    const auto id = sendRequest("/order/1");
    handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointReplaced));
    CHECK(replyTo(id)->kind == reply_kind::NotRun);
    CHECK(replyTo(sendRequest("/order/2"))->problem->kind == failure_kind::NoEndpoint);
    announce({ endpoint("b1", "book", 2) });
    sendRequest("/order/3");
    CHECK(attempts() == 2);
}

TEST_CASE_FIXTURE(routing_fixture, "A caller that leaves has its attempt given up [routing]")
{
    publishAll();
    const auto id = sendRequest("/lookup/1");
    handle(request_abandoned { id });
    CHECK(commands.all<cancel_attempt>().size() == 1);
    handle(attemptEnd(id, attempt_outcome::Broken, failure_kind::CallerGone));
    CHECK(attempts() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "A shutdown serves what comes in the notice, and waits for what runs [routing]")
{
    publishAll();
    const auto id = sendRequest("/lookup/1");
    handle(shutdown_requested {});
    CHECK(commands.all<begin_drain>().size() == 1);
    const auto later = sendRequest("/lookup/2");
    CHECK(attempts() == 2);
    pass(std::chrono::milliseconds(3100));
    CHECK(replyTo(sendRequest("/lookup/3"))->problem->kind == failure_kind::Draining);
    CHECK(commands.all<close_caller_connections>().empty());
    handle(attemptEnd(id, attempt_outcome::Completed));
    handle(attemptEnd(later, attempt_outcome::Completed));
    CHECK(commands.all<close_caller_connections>().size() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "Routers learn of each other from the beats [routing]")
{
    fleet_heartbeat heartbeat {
        .from = { "r2" }, .incarnation = { 5 }, .domain = { "north" }, .address = "10.0.0.2", .sequence = 1
    };
    heartbeat.knownRouters.push_back({ { "r3" }, "10.0.0.3" });
    handle(peer_received { heartbeat.from, heartbeat });
    pass(fleet_controller::shortestPeriod);
    const auto peers = commands.all<set_peers>().back().peers;
    CHECK(peers.size() == 2);
    const auto recipients = commands.all<send_heartbeat>().back().to;
    CHECK(std::find(recipients.begin(), recipients.end(), entry_vm_id { "r3" }) != recipients.end());
}
