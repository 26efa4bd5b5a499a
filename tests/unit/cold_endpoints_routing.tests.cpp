#include "routing_fixture.hpp"

#include <algorithm>
#include <map>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

/// A router whose pool "book" has a cold limit of 33.5 requests in a second.
class cold_fixture : public routing_fixture {
public:
    cold_fixture()
    {
        setSeeds({});
        publish(coldTable());
    }

    static std::shared_ptr<route_table> coldTable()
    {
        auto routes = table(1);
        routes->pools.at({ "book" }).coldStart = cold_start { 3s, 19 };
        return routes;
    }

    void setSeeds(std::vector<std::string> seeds)
    {
        auto limited = bounds();
        limited.cold = cold_bounds { 1.5, 5 };
        handle(settings_reloaded { limited, std::move(seeds) });
    }

    announced_endpoint coldEndpoint(
        const std::string& id, std::chrono::milliseconds coldTime, std::int64_t incarnation = 1)
    {
        auto announced = endpoint(id, "book", incarnation);
        announced.slots = { 400 };
        announced.coldUntil = now + coldTime;
        return announced;
    }

    void read(const std::vector<announced_endpoint>& endpoints)
    {
        publish(coldTable());
        announce(endpoints);
    }

    /// Sends a number of calls; returns how many went to each endpoint, and to "" if they were refused.
    std::map<std::string, int> send(int calls)
    {
        std::map<std::string, int> placed;
        for (int i = 0; i < calls; ++i) {
            const auto before = attempts();
            lastId = sendRequest("/order/1");
            ++placed[attempts() > before ? lastAttempt()->to.endpoint.value : ""];
        }
        return placed;
    }

    status_report status()
    {
        handle(status_requested { { 1 } });
        return commands.all<status_reply>().back().report;
    }

    std::int64_t runningAt(const std::string& id)
    {
        const auto report = status();
        const auto row = std::find_if(report.endpoints.begin(), report.endpoints.end(),
            [&](const endpoint_state& known) { return known.endpoint.value == id; });
        return row->running.value;
    }

    long logged(std::string_view change) const
    {
        return std::count_if(
            log.changes.begin(), log.changes.end(), [&](const change_record& row) { return row.change == change; });
    }

    void hear(const std::string& router, std::uint64_t sequence, std::vector<known_router> others = {})
    {
        fleet_heartbeat heartbeat {
            .from = { router }, .incarnation = { 5 }, .domain = { "north" }, .address = router, .sequence = sequence
        };
        heartbeat.knownRouters = std::move(others);
        handle(peer_received { heartbeat.from, heartbeat });
    }

    request_id lastId {};
};

} // namespace

// Guards against a cold endpoint that crashes under the load of a warm one.
TEST_CASE_FIXTURE(cold_fixture, "A cold endpoint gets its allowance and the others the rest [cold]")
{
    auto warm = endpoint("b2", "book");
    warm.slots = { 400 };
    read({ coldEndpoint("b1", 3s), warm });
    auto placed = send(200);
    CHECK(placed["b1"] == 26);
    CHECK(placed["b2"] == 174);
    CHECK(logged("cold") == 1);
    CHECK(status().coldPools.front().counts.sentToCold == 26);
    pass(3s);
    CHECK(logged("warm") == 1);
    CHECK(send(100)["b1"] > 26);
}

TEST_CASE_FIXTURE(cold_fixture, "Without a cold limit, a cold endpoint is used like any other [cold]")
{
    SUBCASE("because the settings have none")
    {
        handle(settings_reloaded { bounds(), {} });
        read({ coldEndpoint("b1", 3s) });
    }
    SUBCASE("because the pool has none")
    {
        publish(table(2));
        announce({ coldEndpoint("b1", 3s) });
    }
    CHECK(send(100)["b1"] == 100);
    CHECK(logged("cold") == 0);
}

TEST_CASE_FIXTURE(cold_fixture, "A call that finds only cold endpoints without allowance is refused and counted [cold]")
{
    read({ coldEndpoint("b1", 3s) });
    auto placed = send(30);
    CHECK(placed["b1"] == 26);
    CHECK(placed[""] == 4);
    const auto reply = replyTo(lastId);
    CHECK(reply->kind == reply_kind::NotRun);
    CHECK(reply->retryAt > now);
    CHECK(status().coldPools.front().counts.foundOnlyCold == 4);
}

// Guards against a domain that stays idle after its return, and against one that is flooded at once.
TEST_CASE_FIXTURE(cold_fixture, "A whole domain that returns cold is used at once and not overloaded [cold]")
{
    std::vector<announced_endpoint> endpoints;
    for (int i = 1; i <= 6; ++i) {
        auto announced = endpoint("b" + std::to_string(i), "book");
        announced.slots = { 400 };
        announced.domain = { i <= 3 ? "north" : "south" };
        endpoints.push_back(announced);
    }
    evacuated = { { "north" } };
    read(endpoints);
    auto placed = send(30);
    CHECK(placed["b1"] + placed["b2"] + placed["b3"] == 0);
    pass(1s);
    // The entries do not say that the endpoints are cold.
    evacuated = {};
    read(endpoints);
    placed = send(600);
    for (const char* returned : { "b1", "b2", "b3" })
        CHECK(placed[returned] == 26);
    CHECK(placed["b4"] + placed["b5"] + placed["b6"] == 600 - 3 * 26);
    pass(1s);
    placed = send(100);
    CHECK(placed["b1"] + placed["b2"] + placed["b3"] == 0);
    pass(2s);
    read(endpoints);
    CHECK(logged("warm") == 3);
    placed = send(600);
    CHECK(placed["b1"] > 26);
}

// Guards against a restarted router that sends its share beside those of owners that it does not know.
TEST_CASE_FIXTURE(cold_fixture, "A router with seeds sends nothing to cold endpoints for its first six seconds [cold]")
{
    setSeeds({ "10.0.0.2" });
    pass(0ms);
    read({ coldEndpoint("b1", 20s) });
    CHECK(send(5)["b1"] == 0);
    pass(3s);
    pass(2900ms);
    read({ coldEndpoint("b1", 20s) });
    CHECK(send(5)["b1"] == 0);
    pass(200ms);
    CHECK(send(5)["b1"] == 5);
}

TEST_CASE_FIXTURE(cold_fixture, "The share follows the routers that were heard of in the last minute [cold]")
{
    hear("r2", 1, { { { "r3" }, "10.0.0.3" } });
    read({ coldEndpoint("b1", 200s) });
    CHECK(send(40)["b1"] == 8);
    // Cut off from the others.
    for (int second = 0; second < 59; ++second)
        pass(1s);
    read({ coldEndpoint("b1", 200s) });
    CHECK(send(40)["b1"] == 8);
    for (int second = 0; second < 3; ++second)
        pass(1s);
    read({ coldEndpoint("b1", 200s) });
    CHECK(send(40)["b1"] == 26);
}

TEST_CASE_FIXTURE(cold_fixture, "A router that only others hear counts as one that may exist [cold]")
{
    for (std::uint64_t second = 1; second < 100; ++second) {
        hear("r2", second, { { { "r3" }, "10.0.0.3" } });
        pass(1s);
        CHECK(status().peers.size() == 2);
    }
    read({ coldEndpoint("b1", 200s) });
    CHECK(send(40)["b1"] == 8);
}

// Guards against full load at an endpoint that restarted before its entry shows it.
TEST_CASE_FIXTURE(cold_fixture, "An endpoint that breaks counts as cold until a later read shows it [cold]")
{
    auto warm = endpoint("b1", "book");
    warm.slots = { 400 };
    read({ warm });
    failure_kind problem {};
    attempt_outcome outcome {};
    SUBCASE("its connection broke")
    {
        problem = failure_kind::EndpointBroke;
        outcome = attempt_outcome::Broken;
    }
    SUBCASE("it could not be reached")
    {
        problem = failure_kind::EndpointUnreachable;
        outcome = attempt_outcome::NotSent;
    }
    send(1);
    const auto id = lastId;
    send(1);
    const auto failedAt = now;
    handle(attemptEnd(id, outcome, problem));
    CHECK(logged("cold") == 1);
    CHECK(send(60)["b1"] == 24);
    pass(1300ms);
    // This read began before the failure.
    handle(routes_observed { coldTable(), now });
    endpoint_directory directory;
    directory.endpoints.emplace(warm.id, warm);
    handle(directory_observed { std::make_shared<const endpoint_directory>(directory), failedAt - 1ms });
    CHECK(send(60)["b1"] == 26);
    pass(1300ms);
    read({ warm });
    CHECK(logged("warm") == 1);
    CHECK(send(60)["b1"] == 60);
}

TEST_CASE_FIXTURE(cold_fixture, "An answer that says so makes its endpoint cold [cold]")
{
    auto warm = endpoint("b1", "book");
    warm.slots = { 400 };
    read({ warm });
    handle(endpoint_noticed { .endpoint = { "b1" }, .incarnation = 1, .coldUntil = now + 2s });
    CHECK(send(40)["b1"] == 26);
    pass(2s);
    CHECK(send(40)["b1"] == 40);
}

TEST_CASE_FIXTURE(cold_fixture, "An endpoint that rewrites its cold time is logged once [cold]")
{
    for (int i = 0; i < 10; ++i) {
        read({ coldEndpoint("b1", 3s) });
        pass(100ms);
    }
    CHECK(logged("cold") == 1);
    CHECK(logged("announced") == 1);
}

// Guards against a load that is subtracted from the wrong incarnation and goes below zero.
TEST_CASE_FIXTURE(cold_fixture, "The load of an endpoint belongs to its incarnation [cold]")
{
    announce({ endpoint("b1", "book", 1) });
    std::vector<request_id> old { sendRequest("/order/1"), sendRequest("/order/1"), sendRequest("/order/1") };
    CHECK(runningAt("b1") == 3);
    announce({ endpoint("b1", "book", 2) });
    CHECK(runningAt("b1") == 0);
    const auto current = sendRequest("/order/1");
    CHECK(runningAt("b1") == 1);
    for (const auto id : old)
        handle(attemptEnd(id, attempt_outcome::Completed));
    CHECK(runningAt("b1") == 1);
    handle(attemptEnd(current, attempt_outcome::Completed));
    CHECK(runningAt("b1") == 0);
}

TEST_CASE_FIXTURE(cold_fixture, "An endpoint that is missing for one read keeps the load of its incarnation [cold]")
{
    announce({ endpoint("b1", "book") });
    const auto first = sendRequest("/order/1");
    sendRequest("/order/1");
    announce({});
    announce({ endpoint("b1", "book") });
    CHECK(runningAt("b1") == 2);
    handle(attemptEnd(first, attempt_outcome::Completed));
    CHECK(runningAt("b1") == 1);
}
