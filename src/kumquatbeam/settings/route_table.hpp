#pragma once

#include "kumquatbeam/types/call_kind.hpp"
#include "kumquatbeam/types/caller_limits.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// A pool that serves a route, with its weight in the traffic split.
struct route_split {
    pool_id pool;
    std::int64_t weight = 1;
};

/// A route: the calls that it matches, their limits and the pools that serve them.
struct call_route {
    route_id id;
    /// Host name that the caller addresses, in lower case and without a port.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string pathPrefix;
    call_kind kind = call_kind::NonIdempotent;
    /// Longest time that a caller waits.
    std::chrono::milliseconds timeout { 60'000 };
    /// Target time for an answer, or for the first event of a stream.
    std::chrono::milliseconds latencyTarget { 1000 };
    /// Maximum number of endpoints to which one request of a caller may be sent.
    int attemptLimit = 1;
    /// Whether the route can be called without an account key.
    bool isPublic = false;
    std::vector<route_split> splits;

    /// The pool for the request with this id. An id always maps to the same pool until the splits change.
    const pool_id& poolFor(const caller_request_id&) const;
};

/// Properties of the model engines of a pool.
struct engine_traits {
    /// Concurrent requests of an engine.
    slot_count slots;
    /// Memory of an engine, in tokens, for running requests and cached prompt prefixes.
    token_count cacheTokens;
};

/// How endpoints of a pool start: each is cold for some time, in which it takes only a limited rate of requests.
struct cold_start {
    std::chrono::milliseconds duration { 0 };
    /// Requests per second, from all routers together, that a cold endpoint is made for.
    double requestsPerSecond = 0;
};

/// A pool that is the target of routes.
struct routed_pool {
    pool_id id;
    /// Set for model engines; unset for plain services.
    std::optional<engine_traits> engine;
    /// Set if endpoints of the pool are cold after a start.
    std::optional<cold_start> coldStart {};
};

/// Routes, pools and account keys as published by the operators: one version, put in force atomically.
struct route_table {
    revision revisionNumber;
    /// Routes by host, those with the longest prefix first.
    std::unordered_map<std::string, std::vector<call_route>> routes;
    std::map<pool_id, routed_pool> pools;
    /// Digests of the account keys; see `credentialDigest`.
    std::unordered_map<std::string, client_account_id> accountsByDigest;
    /// Whether routes that are not public require an account key.
    bool hasAccounts = false;
    caller_limits limits;
    /// Total throughput of the endpoints in tokens per second, with generated tokens counted twice; zero if unknown.
    std::int64_t tokensPerSecond = 0;

    /// Sorts the routes; called once after the table has been filled.
    void sortRoutes();

    /// The route of a request, or null. The port in the authority and the query in the target are ignored.
    const call_route* routeFor(std::string_view authority, std::string_view target) const;

    /// The account to which a credential belongs, or null.
    const client_account_id* accountOf(const std::string& credential) const;
};

} // namespace kumquatbeam
