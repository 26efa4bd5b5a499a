#include "routing_fixture.hpp"

#include <algorithm>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

/// A router in north with endpoints of both pools in north and south.
class evacuation_fixture : public routing_fixture {
public:
    evacuation_fixture()
    {
        publish(table(1));
        announceAll();
    }

    static announced_endpoint in(const std::string& domain, announced_endpoint endpoint)
    {
        endpoint.domain = { domain };
        return endpoint;
    }

    void announceAll()
    {
        announce({ endpoint("b1", "book"), in("south", endpoint("b2", "book")), endpoint("e1", "desk"),
            in("south", endpoint("e2", "desk")) });
    }

    void evacuate(const std::set<failure_domain_id>& domains)
    {
        evacuated = domains;
        pass(1s);
        publish(table(1));
        announceAll();
    }

    std::string endpointOfNextCall(const std::string& path)
    {
        const auto before = attempts();
        sendRequest(path);
        return attempts() > before ? lastAttempt()->to.endpoint.value : "";
    }

    status_report status()
    {
        handle(status_requested { { 1 } });
        return commands.all<status_reply>().back().report;
    }

    long logged(std::string_view change) const
    {
        return std::count_if(
            log.changes.begin(), log.changes.end(), [&](const change_record& row) { return row.change == change; });
    }
};

} // namespace

// Each of these guards against a request that reaches an endpoint of an evacuated failure domain.
TEST_CASE_FIXTURE(evacuation_fixture, "First attempts avoid an evacuated failure domain [evacuation]")
{
    evacuate({ { "north" } });
    for (int i = 0; i < 8; ++i) {
        CHECK(endpointOfNextCall("/lookup/1") == "b2");
        CHECK(endpointOfNextCall("/quote/1") == "e2");
    }
    CHECK(logged("evacuated") == 1);
    CHECK(commands.all<set_ready>().back().isReady);
}

TEST_CASE_FIXTURE(evacuation_fixture, "Callers of an evacuated failure domain are served by the others [evacuation]")
{
    REQUIRE(settings().domain.value == "north");
    CHECK(endpointOfNextCall("/lookup/1") == "b1");
    evacuate({ { "north" } });
    CHECK(endpointOfNextCall("/lookup/1") == "b2");
}

TEST_CASE_FIXTURE(evacuation_fixture, "Retries avoid an evacuated failure domain [evacuation]")
{
    evacuate({ { "south" } });
    const auto id = sendRequest("/order/1");
    CHECK(lastAttempt()->to.endpoint.value == "b1");
    const auto before = attempts();
    handle(attemptEnd(id, attempt_outcome::Refused, failure_kind::EndpointRefused));
    CHECK(attempts() == before);
    CHECK(replyTo(id)->kind == reply_kind::NotRun);
}

TEST_CASE_FIXTURE(evacuation_fixture, "A resumed stream avoids an evacuated failure domain [evacuation]")
{
    announce({ endpoint("e1", "desk"), in("south", endpoint("e2", "desk")), in("west", endpoint("e3", "desk")) });
    const auto id = sendRequest("/plan/1");
    const auto first = lastAttempt()->to.endpoint.value;
    evacuated = { { "south" } };
    if (first == "e2")
        evacuated = { { "west" } };
    announce({ endpoint("e1", "desk"), in("south", endpoint("e2", "desk")), in("west", endpoint("e3", "desk")) });
    auto broken = attemptEnd(id, attempt_outcome::Broken);
    broken.relayedBytes = { 100 };
    broken.lastEvent = event_number { 4 };
    handle(broken);
    REQUIRE(attempts() == 2);
    CHECK(lastAttempt()->resumeAfter == event_number { 4 });
    CHECK(lastAttempt()->to.endpoint.value != first);
    CHECK(lastAttempt()->to.endpoint.value != (first == "e2" ? "e3" : "e2"));
}

TEST_CASE_FIXTURE(evacuation_fixture,
    "Requests whose endpoint was chosen before an evacuation are withdrawn and sent elsewhere; running ones continue "
    "[evacuation]")
{
    const auto id = sendRequest("/order/1");
    REQUIRE(lastAttempt()->to.endpoint.value == "b1");
    evacuate({ { "north" } });
    // The endpoints duty withdraws an attempt of which no byte was sent and leaves the others alone.
    const auto allowed = commands.all<set_allowed_endpoints>().back().endpoints;
    REQUIRE(allowed.size() == 2);
    CHECK(allowed.front().endpoint.value == "b2");
    CHECK(allowed.back().endpoint.value == "e2");
    CHECK(commands.all<cancel_attempt>().empty());
    SUBCASE("withdrawn")
    {
        handle(attemptEnd(id, attempt_outcome::NotSent, failure_kind::NoEndpoint));
        CHECK(attempts() == 2);
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    SUBCASE("running")
    {
        handle(attemptEnd(id, attempt_outcome::Completed));
        CHECK(attempts() == 1);
        CHECK(replyTo(id)->kind == reply_kind::Answered);
    }
}

// Guards against callers that wait for their deadline while nothing can serve them.
TEST_CASE_FIXTURE(
    evacuation_fixture, "If all domains are evacuated, calls are refused at once with a time to retry [evacuation]")
{
    const auto withdrawn = sendRequest("/order/1");
    evacuate({ { "north" }, { "south" } });
    const auto reply = replyTo(sendRequest("/lookup/1"));
    REQUIRE(reply);
    CHECK(reply->kind == reply_kind::NotRun);
    REQUIRE(reply->retryAt);
    CHECK(*reply->retryAt > now);
    CHECK(*reply->retryAt <= now + 8s / 3);
    handle(attemptEnd(withdrawn, attempt_outcome::NotSent, failure_kind::NoEndpoint));
    const auto late = replyTo(withdrawn);
    REQUIRE(late);
    CHECK(late->kind == reply_kind::NotRun);
    REQUIRE(late->retryAt);
    CHECK(*late->retryAt > now);
    CHECK(*late->retryAt <= now + 8s / 3);
    CHECK(commands.all<set_ready>().back().isReady);
    const auto report = status();
    CHECK(report.evacuatedDomains.size() == 2);
    CHECK(report.coldPools.front().counts.refusedEvacuated == 2);
    CHECK(report.endpoints.front().isEvacuated);
    CHECK_FALSE(report.endpoints.front().isLeaving);
}

TEST_CASE_FIXTURE(evacuation_fixture, "A router that is cut off from the store keeps the last evacuations [evacuation]")
{
    evacuate({ { "north" } });
    handle(source_lost { { failure_kind::PlatformUnreachable } });
    pass(20s);
    publish(table(1));
    CHECK(endpointOfNextCall("/lookup/1") == "b2");
}

TEST_CASE_FIXTURE(
    evacuation_fixture, "An endpoint that appears in an evacuated failure domain is not used [evacuation]")
{
    evacuate({ { "north" } });
    announce({ endpoint("b1", "book"), endpoint("b3", "book", 5), in("south", endpoint("b2", "book")) });
    for (int i = 0; i < 6; ++i)
        CHECK(endpointOfNextCall("/lookup/1") == "b2");
}

TEST_CASE_FIXTURE(evacuation_fixture, "The end of an evacuation makes the failure domain usable again [evacuation]")
{
    evacuate({ { "north" } });
    CHECK(endpointOfNextCall("/lookup/1") == "b2");
    evacuate({});
    CHECK(logged("evacuation-ended") == 1);
    CHECK(endpointOfNextCall("/lookup/1") == "b1");
    CHECK(status().evacuatedDomains.empty());
}
