#include "routing_fixture.hpp"

using namespace kumquatbeam;

TEST_CASE_FIXTURE(routing_fixture, "A router without a route table refuses requests as not ready [routing]")
{
    const auto reply = replyTo(sendRequest("/lookup/1"));
    REQUIRE(reply);
    CHECK(reply->kind == reply_kind::NotRun);
    CHECK(reply->problem->kind == failure_kind::NotReady);
    CHECK(commands.all<set_ready>().empty());
}

TEST_CASE_FIXTURE(routing_fixture, "A router is ready once it has a route table and an endpoint [routing]")
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

TEST_CASE_FIXTURE(routing_fixture, "Keys that are not confirmed expire before the revocation limit [routing]")
{
    publishAll();
    pass(std::chrono::milliseconds(3100));
    CHECK_FALSE(commands.all<set_ready>().back().isReady);
    sendRequest("/lookup/1");
    CHECK(attempts() == 1);
    CHECK(lastAttempt()->sendBefore <= now + std::chrono::milliseconds(1900));
    pass(std::chrono::milliseconds(1500));
    CHECK(replyTo(sendRequest("/lookup/2"))->problem->kind == failure_kind::KeysStale);
    SUBCASE("public routes are still served")
    {
        sendRequest("/open/1");
        CHECK(attempts() == 2);
    }
    SUBCASE("a confirmation renews them")
    {
        publish(table(1));
        sendRequest("/lookup/3");
        CHECK(attempts() == 2);
        CHECK(commands.all<set_ready>().back().isReady);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "A revoked key is refused once a table without it is active [routing]")
{
    publishAll();
    auto without = table(2);
    without->accountsByDigest.clear();
    publish(without);
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::UnknownAccount);
}

TEST_CASE_FIXTURE(routing_fixture, "A non-idempotent call is never retried after a byte was sent [routing]")
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

TEST_CASE_FIXTURE(routing_fixture, "A call that did not run is retried at another endpoint [routing]")
{
    publishAll();
    const auto id = sendRequest("/order/1");
    const auto first = lastAttempt()->to.endpoint;
    SUBCASE("when no byte was sent")
    {
        handle(attemptEnd(id, attempt_outcome::NotSent, failure_kind::EndpointUnreachable));
    }
    SUBCASE("when the endpoint reported it")
    {
        handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    }
    CHECK(attempts() == 2);
    CHECK(lastAttempt()->to.endpoint != first);
}

TEST_CASE_FIXTURE(routing_fixture, "Retries stop at the attempt limit of the route [routing]")
{
    publishAll();
    const auto id = sendRequest("/order/1");
    handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    CHECK(attempts() == 2);
    CHECK(replyTo(id)->kind == reply_kind::NotRun);
}

TEST_CASE_FIXTURE(routing_fixture,
    "An idempotent call is retried once after a failure of the endpoint, and the last answer is relayed [routing]")
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

TEST_CASE_FIXTURE(routing_fixture, "A resumable stream continues after the last event at another endpoint [routing]")
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

// ORDER: a failure at the resumption of a stream counted as the request's answer, and no other endpoint was asked.
TEST_CASE("A whole answer that cannot continue a stream does not end the request as answered [routing]")
{
    for (const int status : { 200, 204, 302, 404, 500 }) {
        CAPTURE(status);
        routing_fixture fixture;
        const auto routes = routing_fixture::table(1);
        for (auto& route : routes->routes["desk.example"])
            route.attemptLimit = 3;
        fixture.publish(routes);
        fixture.announce({ routing_fixture::endpoint("e1", "desk"), routing_fixture::endpoint("e2", "desk"),
            routing_fixture::endpoint("e3", "desk") });
        const auto id = fixture.sendRequest("/plan/1");
        auto broken = fixture.attemptEnd(id, attempt_outcome::Broken);
        broken.relayedBytes = { 100 };
        broken.lastEvent = event_number { 4 };
        fixture.handle(broken);
        for (std::size_t attempts = 2; attempts <= 3; ++attempts) {
            REQUIRE(fixture.attempts() == attempts);
            CHECK(fixture.lastAttempt()->resumeAfter == event_number { 4 });
            auto other = fixture.attemptEnd(id, attempt_outcome::Completed);
            other.status = { status };
            other.lastEvent = event_number { 4 };
            fixture.handle(other);
        }
        CHECK(fixture.attempts() == 3);
        REQUIRE(fixture.replyTo(id));
        CHECK(fixture.replyTo(id)->kind == reply_kind::Unknown);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "The retry budget limits retries [routing]")
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

// BUDGET: pools that existed kept the retry budget of the process's start.
TEST_CASE_FIXTURE(routing_fixture, "A reloaded retry budget holds at once for pools that exist [routing]")
{
    publishAll();
    auto none = bounds();
    none.retryRatio = 0;
    none.retryAllowance = 0;
    handle(settings_reloaded { none, {} });
    const auto id = sendRequest("/lookup/1");
    auto failed = attemptEnd(id, attempt_outcome::Completed);
    failed.status = { 500 };
    handle(failed);
    CHECK(attempts() == 1);
    CHECK(replyTo(id)->kind == reply_kind::Answered);
}

TEST_CASE_FIXTURE(
    routing_fixture, "A replaced endpoint is not used until its cooldown ends or the directory changes [routing]")
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

TEST_CASE_FIXTURE(routing_fixture, "The attempt of a caller that disconnects is cancelled [routing]")
{
    publishAll();
    const auto id = sendRequest("/lookup/1");
    handle(request_abandoned { id });
    CHECK(commands.all<cancel_attempt>().size() == 1);
    handle(attemptEnd(id, attempt_outcome::Broken, failure_kind::CallerGone));
    CHECK(attempts() == 1);
}

TEST_CASE_FIXTURE(routing_fixture,
    "A shutdown serves requests that arrive within the notice, and waits for those in flight [routing]")
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

// LOST: the grace period of the process's start ended streams that the one in force allowed.
TEST_CASE_FIXTURE(routing_fixture, "A shutdown waits as long as the reloaded settings allow [routing]")
{
    publishAll();
    auto longer = bounds();
    longer.drainLimit = std::chrono::milliseconds(12'000);
    handle(settings_reloaded { longer, {} });
    sendRequest("/plan/1");
    handle(shutdown_requested {});
    pass(std::chrono::milliseconds(14'900));
    CHECK(commands.all<end_requests>().empty());
    pass(std::chrono::milliseconds(100));
    CHECK(commands.all<end_requests>().size() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "Routers discover each other through heartbeats [routing]")
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

// LOST, memory over the limit: each datagram may name routers that were never heard of.
TEST_CASE_FIXTURE(routing_fixture, "Heartbeats of ever new routers are remembered up to a limit [routing]")
{
    for (int number = 0; number < 4000; ++number) {
        const auto name = std::to_string(number);
        fleet_heartbeat heartbeat {
            .from = { "r" + name }, .incarnation = { 1 }, .address = "10.0.1." + name, .sequence = 1
        };
        heartbeat.knownRouters.push_back({ { "named" + name }, "10.0.2." + name });
        handle(peer_received { heartbeat.from, heartbeat });
    }
    pass(fleet_controller::longestPeriod);
    CHECK(commands.all<send_heartbeat>().back().to.size() == 1024);
}

TEST_CASE_FIXTURE(routing_fixture, "An endpoint that asks for quiet gets nothing until then [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    const auto until = now + std::chrono::seconds(2);
    handle(endpoint_noticed { { "b1" }, 1, false, until });
    for (int i = 0; i < 12; ++i) {
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    SUBCASE("a shorter time asked for later takes nothing back")
    {
        handle(endpoint_noticed { { "b1" }, 1, false, now + std::chrono::milliseconds(100) });
        pass(std::chrono::milliseconds(1000));
        publish(table(1));
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    SUBCASE("retries too")
    {
        const auto id = sendRequest("/lookup/1");
        const auto before = attempts();
        handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
        CHECK(attempts() == before);
        CHECK(replyTo(id)->kind == reply_kind::NotRun);
    }
    SUBCASE("it is used again afterwards")
    {
        pass(std::chrono::milliseconds(2000));
        publish(table(1));
        announce({ endpoint("b1", "book"), endpoint("b2", "book") });
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b1");
    }
    SUBCASE("a new incarnation has asked for nothing")
    {
        announce({ endpoint("b1", "book", 2), endpoint("b2", "book") });
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b1");
    }
}

TEST_CASE_FIXTURE(
    routing_fixture, "If all endpoints ask for quiet, a caller is refused at once with the earliest time [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    handle(endpoint_noticed { { "b1" }, 1, false, now + std::chrono::seconds(4) });
    handle(endpoint_noticed { { "b2" }, 1, false, now + std::chrono::seconds(3) });
    const auto reply = replyTo(sendRequest("/lookup/1"));
    REQUIRE(reply);
    CHECK(attempts() == 0);
    CHECK(reply->kind == reply_kind::NotRun);
    CHECK(reply->retryAt == now + std::chrono::seconds(3));
}

TEST_CASE_FIXTURE(routing_fixture, "A request for quiet that is not understood is logged and changes nothing [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book") });
    handle(endpoint_noticed { .endpoint = { "b1" },
        .incarnation = 1,
        .problem = failure { failure_kind::MalformedValue, "Retry-After", "soon", "seconds" } });
    CHECK(log.failures.size() == 1);
    sendRequest("/lookup/1");
    CHECK(attempts() == 1);
}
