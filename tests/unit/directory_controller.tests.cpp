#include "routing_fixture.hpp"

#include "kumquatbeam/types/wire_key.hpp"

using namespace kumquatbeam;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(
    routing_fixture, "A draining endpoint gets no more calls, even if an older announcement is read later [routing]")
{
    publish(table(1));
    auto leaving = endpoint("b1", "book");
    leaving.isDraining = true;
    announce({ leaving, endpoint("b2", "book") });
    announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    for (int i = 0; i < 6; ++i) {
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    announce({ endpoint("b1", "book", 2) });
    sendRequest("/lookup/1");
    CHECK(lastAttempt()->to.endpoint.value == "b1");
}

TEST_CASE_FIXTURE(routing_fixture, "An endpoint that is missing after an outage is kept for the grace period [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book") });
    pass(std::chrono::seconds(4));
    publish(table(1));
    announce({});
    sendRequest("/lookup/1");
    CHECK(attempts() == 1);
    pass(std::chrono::milliseconds(1000));
    publish(table(1));
    announce({});
    sendRequest("/lookup/1");
    CHECK(attempts() == 2);
    pass(std::chrono::milliseconds(1300));
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
}

// DRAIN: an endpoint that left just after a cut had healed was used for the whole grace period, counted from a late
// read.
TEST_CASE_FIXTURE(routing_fixture,
    "An endpoint that left just after an outage gets no call once the outage is over for the stability window "
    "[routing]")
{
    for (const auto sinceLostRead : { 950ms, 800ms }) {
        routing_fixture fixture;
        fixture.publish(table(1));
        fixture.announce({ endpoint("b1", "book"), endpoint("b2", "book") });
        fixture.pass(4s);
        // The outage may have ended as early as this, right after the last lost read was sent.
        const auto outageEnd = fixture.now - sinceLostRead;
        fixture.publish(table(1));
        fixture.announce({ endpoint("b2", "book") }, outageEnd);
        fixture.pass(std::chrono::duration_cast<std::chrono::milliseconds>(
            outageEnd + bounds().outageStabilityWindow - 150ms - fixture.now));
        for (int i = 0; i < 6; ++i) {
            fixture.sendRequest("/lookup/1");
            CHECK(fixture.lastAttempt()->to.endpoint.value == "b2");
        }
    }
}

// The other side of it: an endpoint that lives is not forgotten while its announcement may still come back.
TEST_CASE_FIXTURE(
    routing_fixture, "An endpoint whose announcement comes back two seconds after an outage is never lost [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book") });
    pass(4s);
    const auto firstRead = now;
    for (; now < firstRead + 2000ms; pass(250ms)) {
        publish(table(1));
        if (now == firstRead)
            announce({}, now - 700ms);
        else
            announce({});
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b1");
    }
    for (int read = 0; read < 2; ++read) {
        publish(table(1));
        announce({ endpoint("b1", "book") });
        sendRequest("/lookup/1");
        pass(1s);
    }
    CHECK(attempts() == 10);
}

TEST_CASE_FIXTURE(routing_fixture, "An endpoint that is missing without an outage is removed immediately [routing]")
{
    publishAll();
    pass(std::chrono::milliseconds(900));
    announce({ endpoint("e1", "desk") });
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
}

TEST_CASE_FIXTURE(
    routing_fixture, "Reads as far apart as the change propagation limit allows do not count as an outage [routing]")
{
    auto slow = bounds();
    slow.changePropagationLimit = std::chrono::milliseconds(3000);
    handle(settings_reloaded { slow, {} });
    publishAll();
    pass(std::chrono::milliseconds(1610));
    announce({ endpoint("e1", "desk") });
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
}

// DRAIN: with lowered bounds, the wait for the next read counted as an outage, and what had left was kept.
TEST_CASE_FIXTURE(
    routing_fixture, "Lowering the bounds between two reads makes no outage of the gap between them [routing]")
{
    auto slow = bounds();
    slow.changePropagationLimit = 4000ms;
    handle(settings_reloaded { slow, {} });
    publishAll();
    pass(2310ms);
    handle(settings_reloaded { bounds(), {} });
    SUBCASE("the first read after the change is in time")
    {
        announce({ endpoint("e1", "desk") });
        CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
    }
    SUBCASE("the reads after it follow the lowered bounds")
    {
        publishAll();
        pass(1510ms);
        announce({ endpoint("e1", "desk") });
        sendRequest("/lookup/1");
        CHECK(attempts() == 1);
    }
}

TEST_CASE_FIXTURE(routing_fixture, "An endpoint that says in an answer that it is leaving gets no more calls [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    handle(endpoint_noticed { { "b1" }, 1, true });
    for (int i = 0; i < 6; ++i) {
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    SUBCASE("although it is announced as ready")
    {
        announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    }
    SUBCASE("although its announcement was missing in between")
    {
        announce({ endpoint("b2", "book") });
        announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    }
    for (int i = 0; i < 6; ++i) {
        sendRequest("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    announce({ endpoint("b1", "book", 2), endpoint("b2", "book") });
    sendRequest("/lookup/1");
    CHECK(lastAttempt()->to.endpoint.value == "b1");
}

TEST_CASE_FIXTURE(routing_fixture, "What an earlier incarnation said about leaving does not count [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book", 2) });
    handle(endpoint_noticed { { "b1" }, 1, true });
    sendRequest("/lookup/1");
    CHECK(attempts() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "Routers tell each other which endpoints are leaving [routing]")
{
    publishAll();
    handle(endpoint_noticed { { "b1" }, 1, true });
    pass(std::chrono::milliseconds(1000));
    const auto rows = commands.all<send_heartbeat>().back().heartbeat.leavingEndpoints;
    REQUIRE(rows.size() == 1);
    CHECK(rows.front().endpoint == wireKeyOf(std::string("b1")));
    CHECK(rows.front().incarnation == 1);

    fleet_heartbeat heard { .from = { "r2" }, .incarnation = { 5 }, .address = "127.0.0.2", .sequence = 1 };
    heard.leavingEndpoints.push_back({ wireKeyOf(std::string("b2")), 1 });
    handle(peer_received { { "r2" }, heard });
    CHECK(replyTo(sendRequest("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
}

// DRAIN: an attempt that was still connecting reached an endpoint after the router had learnt that it leaves.
TEST_CASE_FIXTURE(routing_fixture, "An endpoint that drains is no longer one that calls may be sent to [routing]")
{
    publish(table(1));
    auto leaving = endpoint("b1", "book");
    leaving.isDraining = true;
    announce({ leaving, endpoint("b2", "book") });
    const auto allowed = commands.all<set_allowed_endpoints>().back().endpoints;
    REQUIRE(allowed.size() == 1);
    CHECK(allowed.front().endpoint.value == "b2");
}
