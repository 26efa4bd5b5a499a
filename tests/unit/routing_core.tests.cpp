#include "kumquatbeam/controllers/routing_core.hpp"
#include "kumquatbeam/types/credential_digest.hpp"
#include "recorded_commands.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

namespace {

/// A routing core with one engine pool and one plain pool; its clock is set by hand.
class routing_fixture {
public:
    routing_fixture()
        : core(settings(), bounds(), {}, { 11 }, outlet, log)
    {
    }

    static route_bounds bounds()
    {
        route_bounds bounds;
        bounds.keyRevocation = std::chrono::seconds(5);
        bounds.retryAllowance = 10;
        return bounds;
    }

    static router_settings settings()
    {
        router_settings settings;
        settings.self = { "r1" };
        settings.domain = { "north" };
        settings.drainNotice = std::chrono::milliseconds(3000);
        settings.drainLimit = std::chrono::milliseconds(4000);
        return settings;
    }

    static std::shared_ptr<route_table> table(std::uint64_t version)
    {
        auto made = std::make_shared<route_table>();
        made->current = { version };
        const auto add = [&](const char* id, const char* prefix, call_kind kind, const char* pool, int attempts) {
            made->routes["desk.example"].push_back({ .id = { id },
                .host = "desk.example",
                .pathPrefix = prefix,
                .kind = kind,
                .timeout = std::chrono::seconds(8),
                .objective = std::chrono::milliseconds(600),
                .attemptLimit = attempts,
                .splits = { { { pool } } } });
        };
        add("lookup", "/lookup/", call_kind::Idempotent, "book", 2);
        add("order", "/order/", call_kind::NonIdempotent, "book", 2);
        add("quote", "/quote/", call_kind::Stream, "desk", 1);
        add("plan", "/plan/", call_kind::ResumableStream, "desk", 2);
        made->routes["desk.example"].push_back({ .id = { "open" },
            .host = "desk.example",
            .pathPrefix = "/open/",
            .isPublic = true,
            .splits = { { { "book" } } } });
        made->pools.emplace(pool_id { "book" }, routed_pool { { "book" } });
        made->pools.emplace(pool_id { "desk" }, routed_pool { { "desk" }, engine_traits { { 48 }, { 444'000 } } });
        made->hasAccounts = true;
        made->accountsByDigest.emplace(credentialDigest("key"), client_account_id { "weavers" });
        made->index();
        return made;
    }

    static announced_endpoint endpoint(const std::string& id, const std::string& pool, std::int64_t life = 1)
    {
        return { .id = { id },
            .pool = { pool },
            .domain = { "north" },
            .address = "127.0.0.1",
            .port = 9,
            .slots = { 6 },
            .life = life };
    }

    void publish(std::shared_ptr<const route_table> routes) { handle(routes_observed { std::move(routes), now }); }

    void announce(const std::vector<announced_endpoint>& endpoints)
    {
        endpoint_directory directory;
        for (const auto& one : endpoints)
            directory.endpoints.emplace(one.id, one);
        handle(directory_observed { std::make_shared<const endpoint_directory>(std::move(directory)), now });
    }

    void serve()
    {
        publish(table(1));
        announce({ endpoint("b1", "book"), endpoint("b2", "book"), endpoint("e1", "desk"), endpoint("e2", "desk") });
    }

    void handle(const decision_event& event) { core.handle(event, now); }

    void pass(std::chrono::milliseconds time)
    {
        now += time;
        while (core.nextDeadline() <= now)
            core.onDeadline(now);
    }

    request_id ask(const std::string& path, const std::string& key = "key")
    {
        call_request call;
        call.label = { "label" + std::to_string(lastRequest + 1) };
        call.method = "POST";
        call.authority = "desk.example";
        call.target = path;
        call.credential = key;
        const request_id id { ++lastRequest };
        handle(request_arrived { id, std::make_shared<const call_request>(std::move(call)) });
        return id;
    }

    std::optional<start_attempt> lastAttempt() const
    {
        const auto attempts = outlet.all<start_attempt>();
        return attempts.empty() ? std::nullopt : std::optional(attempts.back());
    }

    std::optional<call_reply> replyTo(request_id id) const
    {
        std::optional<call_reply> last;
        for (const auto& reply : outlet.all<reply_to_caller>()) {
            if (reply.id == id)
                last = reply.reply;
        }
        return last;
    }

    attempt_ended ending(
        request_id id, attempt_outcome outcome, failure_kind problem = failure_kind::EndpointBroke) const
    {
        attempt_ended ended { .id = id, .endpoint = lastAttempt()->to.endpoint, .outcome = outcome };
        if (outcome == attempt_outcome::Completed)
            ended.status = { 200 };
        else
            ended.problem = failure { problem };
        return ended;
    }

    std::size_t attempts() const { return outlet.all<start_attempt>().size(); }

    recorded_commands outlet;
    recorded_log log;
    time_point now { std::chrono::hours(1) };
    std::uint64_t lastRequest = 0;
    routing_core core;
};

} // namespace

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

TEST_CASE_FIXTURE(routing_fixture, "A draining endpoint gets nothing more, also when an old entry shows up [routing]")
{
    publish(table(1));
    auto leaving = endpoint("b1", "book");
    leaving.isDraining = true;
    announce({ leaving, endpoint("b2", "book") });
    announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    for (int i = 0; i < 6; ++i) {
        ask("/lookup/1");
        CHECK(lastAttempt()->to.endpoint.value == "b2");
    }
    announce({ endpoint("b1", "book", 2) });
    ask("/lookup/1");
    CHECK(lastAttempt()->to.endpoint.value == "b1");
}

TEST_CASE_FIXTURE(routing_fixture, "An endpoint that is missing after an outage is kept for a moment [routing]")
{
    publish(table(1));
    announce({ endpoint("b1", "book") });
    pass(std::chrono::seconds(4));
    publish(table(1));
    announce({});
    ask("/lookup/1");
    CHECK(attempts() == 1);
    pass(std::chrono::milliseconds(1000));
    publish(table(1));
    announce({});
    ask("/lookup/1");
    CHECK(attempts() == 2);
    pass(std::chrono::milliseconds(1300));
    CHECK(replyTo(ask("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
}

TEST_CASE_FIXTURE(routing_fixture, "An endpoint that is missing without an outage is gone at once [routing]")
{
    serve();
    pass(std::chrono::milliseconds(900));
    announce({ endpoint("e1", "desk") });
    CHECK(replyTo(ask("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
}

TEST_CASE_FIXTURE(routing_fixture, "Reads that are as far apart as slow bounds allow are no outage [routing]")
{
    auto slow = bounds();
    slow.changeInForce = std::chrono::milliseconds(3000);
    handle(settings_reloaded { slow, {} });
    serve();
    pass(std::chrono::milliseconds(1610));
    announce({ endpoint("e1", "desk") });
    CHECK(replyTo(ask("/lookup/1"))->problem->kind == failure_kind::NoEndpoint);
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
    broken.relayed = { 100 };
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
    CHECK(outlet.all<finish_callers>().empty());
    handle(ending(id, attempt_outcome::Completed));
    handle(ending(later, attempt_outcome::Completed));
    CHECK(outlet.all<finish_callers>().size() == 1);
}

TEST_CASE_FIXTURE(routing_fixture, "Routers learn of each other from the beats [routing]")
{
    fleet_beat beat { .from = { "r2" }, .life = { 5 }, .domain = { "north" }, .address = "10.0.0.2", .sequence = 1 };
    beat.known.push_back({ { "r3" }, "10.0.0.3" });
    handle(peer_received { beat.from, beat });
    pass(fleet_controller::shortestPeriod);
    const auto peers = outlet.all<set_peers>().back().peers;
    CHECK(peers.size() == 2);
    const auto told = outlet.all<send_beat>().back().to;
    CHECK(std::find(told.begin(), told.end(), entry_vm_id { "r3" }) != told.end());
}
