#include "kumquatbeam/settings/route_table.hpp"
#include "kumquatbeam/types/credential_digest.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace kumquatbeam;

namespace {

call_route routeOf(const std::string& id, const std::string& prefix)
{
    return { .id = { id }, .host = "desk.example", .pathPrefix = prefix, .splits = { { { "pool" } } } };
}

} // namespace

TEST_CASE("The route with the longest matching prefix is chosen [routes]")
{
    route_table table;
    table.routes["desk.example"] = { routeOf("all", "/"), routeOf("deep", "/a/b/"), routeOf("mid", "/a/") };
    table.sortRoutes();
    CHECK(table.routeFor("desk.example", "/a/b/c")->id.value == "deep");
    CHECK(table.routeFor("desk.example", "/a/x")->id.value == "mid");
    CHECK(table.routeFor("desk.example", "/a/b")->id.value == "mid");
    CHECK(table.routeFor("desk.example", "/z")->id.value == "all");
}

TEST_CASE("The port, the case of the host and the query are ignored [routes]")
{
    route_table table;
    table.routes["desk.example"] = { routeOf("a", "/a/") };
    table.sortRoutes();
    CHECK(table.routeFor("DESK.example:8080", "/a/x?y=/b/") != nullptr);
    CHECK(table.routeFor("desk.example", "/b/?x=/a/") == nullptr);
    CHECK(table.routeFor("other.example", "/a/x") == nullptr);
}

TEST_CASE("A split maps each request id to one pool, in proportion to the weights [routes]")
{
    call_route route { .splits = { { { "large" }, 90 }, { { "small" }, 10 } } };
    std::map<std::string, int> counts;
    for (int number = 0; number < 10'000; ++number) {
        const caller_request_id callerRequestId { "request-" + std::to_string(number) };
        CHECK(route.poolFor(callerRequestId) == route.poolFor(callerRequestId));
        ++counts[route.poolFor(callerRequestId).value];
    }
    CHECK(counts["small"] > 800);
    CHECK(counts["small"] < 1200);
}

TEST_CASE("Only the exact key identifies its account [routes]")
{
    route_table table;
    table.accountsByDigest.emplace(credentialDigest("secret"), client_account_id { "weavers" });
    CHECK(table.accountOf("secret")->value == "weavers");
    CHECK(table.accountOf("Secret") == nullptr);
    CHECK(table.accountOf("") == nullptr);
}
