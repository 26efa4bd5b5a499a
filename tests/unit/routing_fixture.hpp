#pragma once

#include "kumquatbeam/controllers/routing_core.hpp"
#include "kumquatbeam/types/credential_digest.hpp"
#include "recorded_commands.hpp"

#include <doctest/doctest.h>

namespace kumquatbeam {

/// Routing core with one engine pool, one plain pool, and a clock that the test sets.
class routing_fixture {
public:
    routing_fixture()
        : core(settings(), bounds(), {}, { 11 }, commands, log)
    {
    }

    static route_bounds bounds()
    {
        route_bounds bounds;
        bounds.keyRevocationLimit = std::chrono::seconds(5);
        bounds.retryAllowance = 10;
        bounds.drainLimit = std::chrono::milliseconds(4000);
        return bounds;
    }

    static router_settings settings()
    {
        router_settings settings;
        settings.self = { "r1" };
        settings.domain = { "north" };
        settings.drainNotice = std::chrono::milliseconds(3000);
        return settings;
    }

    static std::shared_ptr<route_table> table(std::uint64_t version)
    {
        auto result = std::make_shared<route_table>();
        result->revisionNumber = { version };
        const auto add = [&](const char* id, const char* prefix, call_kind kind, const char* pool, int attempts) {
            result->routes["desk.example"].push_back({ .id = { id },
                .host = "desk.example",
                .pathPrefix = prefix,
                .kind = kind,
                .timeout = std::chrono::seconds(8),
                .latencyTarget = std::chrono::milliseconds(600),
                .attemptLimit = attempts,
                .splits = { { { pool } } } });
        };
        add("lookup", "/lookup/", call_kind::Idempotent, "book", 2);
        add("order", "/order/", call_kind::NonIdempotent, "book", 2);
        add("quote", "/quote/", call_kind::Stream, "desk", 1);
        add("plan", "/plan/", call_kind::ResumableStream, "desk", 2);
        result->routes["desk.example"].push_back({ .id = { "open" },
            .host = "desk.example",
            .pathPrefix = "/open/",
            .isPublic = true,
            .splits = { { { "book" } } } });
        result->pools.emplace(pool_id { "book" }, routed_pool { { "book" } });
        result->pools.emplace(pool_id { "desk" }, routed_pool { { "desk" }, engine_traits { { 48 }, { 444'000 } } });
        result->hasAccounts = true;
        result->accountsByDigest.emplace(credentialDigest("key"), client_account_id { "weavers" });
        result->sortRoutes();
        return result;
    }

    static announced_endpoint endpoint(const std::string& id, const std::string& pool, std::int64_t incarnation = 1)
    {
        return { .id = { id },
            .pool = { pool },
            .domain = { "north" },
            .address = "127.0.0.1",
            .port = 9,
            .slots = { 6 },
            .incarnation = incarnation };
    }

    void publish(std::shared_ptr<const route_table> routes) { handle(routes_observed { std::move(routes), now }); }

    void announce(
        const std::vector<announced_endpoint>& endpoints, std::optional<time_point> outageEndedAfter = std::nullopt)
    {
        endpoint_directory directory;
        directory.evacuatedDomains = evacuated;
        for (const auto& announced : endpoints)
            directory.endpoints.emplace(announced.id, announced);
        handle(directory_observed {
            std::make_shared<const endpoint_directory>(std::move(directory)), now, outageEndedAfter });
    }

    void publishAll()
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

    request_id sendRequest(const std::string& path, const std::string& key = "key", prompt_metadata prompt = {})
    {
        return sendRequest(path, call_request {}, key, std::move(prompt));
    }

    /// Sends a call of which the times are set.
    request_id sendRequest(
        const std::string& path, call_request call, const std::string& key = "key", prompt_metadata prompt = {})
    {
        call.callerRequestId = { "label" + std::to_string(lastRequest + 1) };
        call.method = "POST";
        call.authority = "desk.example";
        call.target = path;
        call.credential = key;
        call.prompt = std::move(prompt);
        const request_id id { ++lastRequest };
        handle(request_arrived { id, std::make_shared<const call_request>(std::move(call)) });
        return id;
    }

    std::optional<start_attempt> lastAttempt() const
    {
        const auto attempts = commands.all<start_attempt>();
        return attempts.empty() ? std::nullopt : std::optional(attempts.back());
    }

    std::optional<call_reply> replyTo(request_id id) const
    {
        std::optional<call_reply> last;
        for (const auto& reply : commands.all<reply_to_caller>()) {
            if (reply.id == id)
                last = reply.reply;
        }
        return last;
    }

    attempt_ended attemptEnd(
        request_id id, attempt_outcome outcome, failure_kind problem = failure_kind::EndpointBroke) const
    {
        attempt_ended ended { .id = id, .endpoint = lastAttempt()->to.endpoint, .outcome = outcome };
        if (outcome == attempt_outcome::Completed)
            ended.status = { 200 };
        else
            ended.problem = failure { problem };
        return ended;
    }

    std::size_t attempts() const { return commands.all<start_attempt>().size(); }

    /// Failure domains that the next announcements show as evacuated.
    std::set<failure_domain_id> evacuated {};
    recorded_commands commands;
    recorded_log log;
    time_point now { std::chrono::hours(1) };
    std::uint64_t lastRequest = 0;
    routing_core core;
};

} // namespace kumquatbeam
