#include "routing_fixture.hpp"

#include "kumquatbeam/types/wire_key.hpp"

using namespace kumquatbeam;

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
