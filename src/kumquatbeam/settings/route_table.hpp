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

/// The part of a route's calls that goes to one pool.
struct route_split {
    pool_id pool;
    std::int64_t weight = 1;
};

/// Which calls go to which pools, and what they may expect there.
struct call_route {
    route_id id;
    /// Host name that the caller addresses, in lower case and without a port.
    std::string host;
    /// Beginning of the path; it begins and ends with a slash.
    std::string pathPrefix;
    call_kind kind = call_kind::NonIdempotent;
    /// Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout { 60'000 };
    /// Time within which an answer, or the first event of a stream, is of full use.
    std::chrono::milliseconds latencyTarget { 1000 };
    /// Endpoints to which one request of a caller may be sent.
    int attemptLimit = 1;
    /// Whether callers need no account key.
    bool isPublic = false;
    std::vector<route_split> splits;

    /// The pool of the request with this label: always the same one for as long as the splits stay.
    const pool_id& poolFor(const caller_request_id&) const;
};

/// What is known about the endpoints of a pool of model engines.
struct engine_traits {
    /// Requests that an engine runs at once.
    slot_count slots;
    /// Memory of an engine for running requests and for parts of prompts that it has read.
    token_count cacheTokens;
};

/// A pool that routes lead to.
struct routed_pool {
    pool_id id;
    /// Set for model engines; unset for plain services.
    std::optional<engine_traits> engine;
};

/// Routes, pools and account keys as the operators have published them: one version, put in force in one step.
struct route_table {
    revision revisionNumber;
    /// By host; the longest prefix first.
    std::unordered_map<std::string, std::vector<call_route>> routes;
    std::map<pool_id, routed_pool> pools;
    /// Digests of the account keys; see `credentialDigest`.
    std::unordered_map<std::string, client_account_id> accountsByDigest;
    /// Whether routes that are not public ask for an account key at all.
    bool hasAccounts = false;
    caller_limits limits;
    /// Tokens a second that the endpoints produce together, each generated one counted twice; zero where unknown.
    std::int64_t tokensPerSecond = 0;

    /// Sorts the routes; called once after the table has been filled.
    void sortRoutes();

    /// The route of a request, or null. A port behind the host and a query behind the path do not count.
    const call_route* routeFor(std::string_view authority, std::string_view target) const;

    /// The account that a credential proves, or null.
    const client_account_id* accountOf(const std::string& credential) const;
};

} // namespace kumquatbeam
