#include "routing_fixture.hpp"

using namespace kumquatbeam;

TEST_CASE_FIXTURE(routing_fixture, "A router without a route table says that it is not ready [routing]")
{
    const auto reply = replyTo(ask("/lookup/1"));
    REQUIRE(reply);
    CHECK(reply->kind == reply_kind::NotRun);
    CHECK(reply->problem->kind == failure_kind::NotReady);
    CHECK(outlet.all<set_ready>().empty());
}

TEST_CASE_FIXTURE(routing_fixture, "A router is ready once it knows routes and an endpoint [routing]")
{
    publish(table(1));
    CHECK(outlet.all<set_ready>().empty());
    announce({ endpoint("b1", "book") });
    REQUIRE(outlet.all<set_ready>().size() == 1);
    CHECK(outlet.all<set_ready>().back().isReady);
}

TEST_CASE_FIXTURE(routing_fixture, "An older table never replaces a newer one [routing]")
{
    serve();
    auto newer = table(5);
    newer->routes.clear();
    publish(newer);
    publish(table(4));
    CHECK(replyTo(ask("/lookup/1"))->problem->kind == failure_kind::UnknownRoute);
}

TEST_CASE_FIXTURE(routing_fixture, "Keys that are not confirmed end before the revocation bound [routing]")
{
    serve();
    pass(std::chrono::milliseconds(3100));
    CHECK_FALSE(outlet.all<set_ready>().back().isReady);
    ask("/lookup/1");
    CHECK(attempts() == 1);
    CHECK(lastAttempt()->sendBefore <= now + std::chrono::milliseconds(1900));
    pass(std::chrono::milliseconds(1500));
    CHECK(replyTo(ask("/lookup/2"))->problem->kind == failure_kind::KeysStale);
    SUBCASE("public routes go on")
    {
        ask("/open/1");
        CHECK(attempts() == 2);
    }
    SUBCASE("a confirmation brings them back")
    {
        publish(table(1));
        ask("/lookup/3");
        CHECK(attempts() == 2);
        CHECK(outlet.all<set_ready>().back().isReady);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "A key that was taken away is refused with the table that lacks it [routing]")
{
    serve();
    auto without = table(2);
    without->accountsByDigest.clear();
    publish(without);
    CHECK(replyTo(ask("/lookup/1"))->problem->kind == failure_kind::UnknownAccount);
}

TEST_CASE_FIXTURE(routing_fixture, "A call that may run once is never sent again after a byte went out [routing]")
{
    serve();
    for (const char* path : { "/order/1", "/quote/1" }) {
        const auto id = ask(path);
        const auto before = attempts();
        handle(ending(id, attempt_outcome::Broken));
        CHECK(attempts() == before);
        CHECK(replyTo(id)->kind == reply_kind::Unknown);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "A call that did not run goes to another endpoint [routing]")
{
    serve();
    const auto id = ask("/order/1");
    const auto first = lastAttempt()->to.endpoint;
    SUBCASE("when no byte went out")
    {
        handle(ending(id, attempt_outcome::NotSent, failure_kind::EndpointUnreachable));
    }
    SUBCASE("when the endpoint said so")
    {
        handle(ending(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    }
    CHECK(attempts() == 2);
    CHECK(lastAttempt()->to.endpoint != first);
}

TEST_CASE_FIXTURE(routing_fixture, "The attempts that a route allows are kept to [routing]")
{
    serve();
    const auto id = ask("/order/1");
    handle(ending(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    handle(ending(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    CHECK(attempts() == 2);
    CHECK(replyTo(id)->kind == reply_kind::NotRun);
}

TEST_CASE_FIXTURE(routing_fixture,
    "An idempotent call whose endpoint failed is tried once more, and the last answer stands [routing]")
{
    serve();
    const auto id = ask("/lookup/1");
    auto failed = ending(id, attempt_outcome::Completed);
    failed.status = { 500 };
    handle(failed);
    CHECK(attempts() == 2);
    auto again = ending(id, attempt_outcome::Completed);
    again.status = { 500 };
    handle(again);
    CHECK(attempts() == 2);
    CHECK(replyTo(id)->kind == reply_kind::Answered);
    CHECK(replyTo(id)->status.value == 500);
}

TEST_CASE_FIXTURE(routing_fixture, "A stream that may be resumed goes on after the last event elsewhere [routing]")
{
    serve();
    const auto id = ask("/plan/1");
    auto broken = ending(id, attempt_outcome::Broken);
    broken.relayedBytes = { 100 };
    broken.lastEvent = event_number { 4 };
    handle(broken);
    CHECK(attempts() == 2);
    CHECK(lastAttempt()->resumeAfter == event_number { 4 });
}

TEST_CASE_FIXTURE(routing_fixture, "The retry budget ends repeats [routing]")
{
    serve();
    int repeats = 0;
    for (int i = 0; i < 200; ++i) {
        const auto id = ask("/lookup/1");
        const auto before = attempts();
        auto failed = ending(id, attempt_outcome::Completed);
        failed.status = { 500 };
        handle(failed);
        if (attempts() > before) {
            ++repeats;
            handle(ending(id, attempt_outcome::Completed));
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
    const auto id = ask("/order/1");
    handle(ending(id, attempt_outcome::Refused, failure_kind::EndpointReplaced));
    CHECK(replyTo(id)->kind == reply_kind::NotRun);
    CHECK(replyTo(ask("/order/2"))->problem->kind == failure_kind::NoEndpoint);
    announce({ endpoint("b1", "book", 2) });
    ask("/order/3");
    CHECK(attempts() == 2);
}

TEST_CASE_FIXTURE(routing_fixture, "A caller that leaves has its attempt given up [routing]")
{
    serve();
    const auto id = ask("/lookup/1");
    handle(request_abandoned { id });
    CHECK(outlet.all<cancel_attempt>().size() == 1);
    handle(ending(id, attempt_outcome::Broken, failure_kind::CallerGone));
    CHECK(attempts() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "A shutdown serves what comes in the notice, and waits for what runs [routing]")
{
    serve();
    const auto id = ask("/lookup/1");
    handle(shutdown_requested {});
    CHECK(outlet.all<begin_drain>().size() == 1);
    const auto later = ask("/lookup/2");
    CHECK(attempts() == 2);
    pass(std::chrono::milliseconds(3100));
    CHECK(replyTo(ask("/lookup/3"))->problem->kind == failure_kind::Draining);
    CHECK(outlet.all<close_caller_connections>().empty());
    handle(ending(id, attempt_outcome::Completed));
    handle(ending(later, attempt_outcome::Completed));
    CHECK(outlet.all<close_caller_connections>().size() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "Routers learn of each other from the beats [routing]")
{
    fleet_heartbeat heartbeat {
        .from = { "r2" }, .incarnation = { 5 }, .domain = { "north" }, .address = "10.0.0.2", .sequence = 1
    };
    heartbeat.knownRouters.push_back({ { "r3" }, "10.0.0.3" });
    handle(peer_received { heartbeat.from, heartbeat });
    pass(fleet_controller::shortestPeriod);
    const auto peers = outlet.all<set_peers>().back().peers;
    CHECK(peers.size() == 2);
    const auto told = outlet.all<send_heartbeat>().back().to;
    CHECK(std::find(told.begin(), told.end(), entry_vm_id { "r3" }) != told.end());
}
