#include "kumquatbeam/decisions/placement/cold_allowance.hpp"
#include "kumquatbeam/decisions/placement/cold_endpoints.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 33.5;
constexpr std::size_t routerCount = 28;

std::vector<entry_vm_id> routersFrom(std::size_t first, std::size_t last)
{
    std::vector<entry_vm_id> routers;
    for (std::size_t i = first; i <= last; ++i)
        routers.push_back({ "r" + std::to_string(i) });
    return routers;
}

wire_key endpointKey(std::size_t number)
{
    return wireKeyOf("engine-" + std::to_string(number));
}

/// The allowances of a fleet, with the routers that each one knows.
struct fleet {
    using known_routers = std::function<std::vector<entry_vm_id>(std::size_t router)>;

    fleet(std::size_t count, const known_routers& knownTo)
    {
        for (std::size_t i = 1; i <= count; ++i) {
            auto& allowance = allowances.emplace_back(entry_vm_id { "r" + std::to_string(i) });
            allowance.setLimit(limit);
            allowance.setRouters(knownTo(i));
        }
    }

    std::vector<cold_allowance> allowances;
};

/// Lets every router send to the endpoint as often as it may; returns the most requests that arrive in any second if
/// each is up to 250 ms on its way.
std::size_t mostInASecond(fleet& routers, wire_key endpoint)
{
    std::vector<std::chrono::milliseconds> arrivals;
    std::size_t sent = 0;
    for (auto at = 0ms; at < 6s; at += 10ms) {
        const time_point now { 1h + at };
        for (auto& allowance : routers.allowances) {
            while (allowance.admits(endpoint, now)) {
                allowance.recordSent(endpoint, now);
                arrivals.push_back(at + std::chrono::milliseconds(sent++ * 37 % 250));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto last = std::lower_bound(first, arrivals.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t totalShare(const fleet& routers, wire_key endpoint)
{
    std::size_t sum = 0;
    for (const auto& allowance : routers.allowances)
        sum += allowance.shareOf(endpoint);
    return sum;
}

} // namespace

// Guards against a cold endpoint that crashes because routers send to it without knowing of each other's requests.
TEST_CASE("All routers together never send more to a cold endpoint than the limit in any second [cold_allowance]")
{
    auto all = routersFrom(1, routerCount);
    fleet::known_routers knownTo;
    std::size_t count = routerCount;
    SUBCASE("if all know each other")
    {
        knownTo = [&](std::size_t) { return all; };
    }
    SUBCASE("if a router has just been removed by half of the others")
    {
        knownTo = [&](std::size_t router) { return router % 2 == 0 ? all : routersFrom(2, routerCount); };
    }
    SUBCASE("if one joins that half of the others know")
    {
        count = routerCount + 1;
        knownTo = [&](std::size_t router) { return router % 2 == 0 ? routersFrom(1, routerCount + 1) : all; };
    }
    SUBCASE("if one joins and another leaves, in each order")
    {
        count = routerCount + 1;
        knownTo = [&](std::size_t router) {
            return routersFrom(router % 2 == 0 ? 1 : 2, routerCount + (router % 3 == 0 ? 1 : 0));
        };
    }
    for (std::size_t endpoint = 0; endpoint < 60; ++endpoint) {
        fleet routers(count, knownTo);
        const auto most = mostInASecond(routers, endpointKey(endpoint));
        CHECK(most <= 33);
        CHECK(most > 0);
    }
}

TEST_CASE("Routers that know the same members divide a cold endpoint among six of them [cold_allowance]")
{
    fleet routers(routerCount, [](std::size_t) { return routersFrom(1, routerCount); });
    std::map<std::size_t, std::size_t> endpointsOfRouter;
    for (std::size_t endpoint = 0; endpoint < 60; ++endpoint) {
        CHECK(totalShare(routers, endpointKey(endpoint)) == 24);
        for (std::size_t i = 0; i < routerCount; ++i) {
            const auto share = routers.allowances[i].shareOf(endpointKey(endpoint));
            CHECK((share == 0 || share == 4));
            endpointsOfRouter[i] += share / 4;
        }
    }
    // Ownership is spread: every router may use some endpoint of a domain that returns cold.
    for (std::size_t i = 0; i < routerCount; ++i)
        CHECK(endpointsOfRouter[i] >= 3);
}

TEST_CASE("A single router uses the divided part of the limit alone [cold_allowance]")
{
    fleet routers(1, [](std::size_t) { return std::vector<entry_vm_id> {}; });
    CHECK(totalShare(routers, endpointKey(1)) == 26);
}

TEST_CASE("A limit that is too low for one request of each owner has fewer owners [cold_allowance]")
{
    fleet routers(routerCount, [](std::size_t) { return routersFrom(1, routerCount); });
    for (auto& allowance : routers.allowances)
        allowance.setLimit(4);
    CHECK(totalShare(routers, endpointKey(1)) == 3);
    for (auto& allowance : routers.allowances)
        allowance.setLimit(1.2);
    CHECK(totalShare(routers, endpointKey(1)) == 0);
}

TEST_CASE("An owner's share returns when its window has passed since each request [cold_allowance]")
{
    cold_allowance allowance({ "r1" });
    allowance.setLimit(5);
    const auto endpoint = endpointKey(1);
    const time_point start { 1h };
    for (int i = 0; i < 4; ++i) {
        CHECK(allowance.admits(endpoint, start + i * 100ms));
        allowance.recordSent(endpoint, start + i * 100ms);
    }
    CHECK_FALSE(allowance.admits(endpoint, start + 1249ms));
    CHECK(allowance.admits(endpoint, start + 1250ms));
    allowance.recordSent(endpoint, start + 1250ms);
    CHECK_FALSE(allowance.admits(endpoint, start + 1349ms));
    CHECK(allowance.admits(endpoint, start + 1350ms));
    CHECK(allowance.admits(endpointKey(2), start + 1300ms));
}

// Guards against a burst at an endpoint that becomes cold while it is in use.
TEST_CASE("Requests that were sent while an endpoint was warm count when it becomes cold [cold_allowance]")
{
    cold_allowance allowance({ "r1" });
    allowance.setLimit(limit);
    const time_point now { 1h };
    for (int i = 0; i < 200; ++i)
        allowance.recordSent(endpointKey(1), now + i * 5ms);
    CHECK_FALSE(allowance.admits(endpointKey(1), now + 1s));
    CHECK(allowance.admits(endpointKey(1), now + 995ms + cold_allowance::window));
}

TEST_CASE("A change of the routers changes the shares [cold_allowance]")
{
    cold_allowance allowance({ "r1" });
    allowance.setLimit(limit);
    CHECK(allowance.shareOf(endpointKey(1)) == 26);
    allowance.setRouters(routersFrom(1, 2));
    CHECK(allowance.shareOf(endpointKey(1)) == 13);
    allowance.setRouters({});
    CHECK(allowance.shareOf(endpointKey(1)) == 26);
}

TEST_CASE("A pool has a cold limit only if all four figures are set [cold_endpoints]")
{
    routed_pool pool { .id = { "desk" }, .engine = {}, .coldStart = cold_start { 3s, 19 } };
    route_bounds bounds;
    CHECK_FALSE(coldLimitOf(pool, bounds));
    bounds.cold = cold_bounds { 1.5, 5 };
    CHECK(coldLimitOf(pool, bounds) == doctest::Approx(limit));
    for (const auto& start : { cold_start { 0s, 19 }, cold_start { 3s, 0 } }) {
        pool.coldStart = start;
        CHECK_FALSE(coldLimitOf(pool, bounds));
    }
    pool.coldStart = cold_start { 3s, 19 };
    for (const auto& incomplete : { cold_bounds { 0, 5 }, cold_bounds { 1.5, 0 } }) {
        bounds.cold = incomplete;
        CHECK_FALSE(coldLimitOf(pool, bounds));
    }
}

// Guards against full load at an endpoint that restarted, while the entry of its earlier incarnation is still shown.
TEST_CASE("A failure makes an endpoint cold until a read that began later shows it [cold_endpoints]")
{
    const time_point now { 1h };
    const announced_endpoint announced { .id = { "e1" }, .pool = { "desk" }, .incarnation = 7 };
    endpoint_directory directory;
    directory.endpoints.emplace(announced.id, announced);
    cold_endpoints cold;
    cold.recordFailure(announced.id, 7, now);
    CHECK(cold.coldUntil(announced, time_point::min()) == never);
    cold.applyRead(directory, now - 1ms);
    CHECK(cold.coldUntil(announced, time_point::min()) == never);
    cold.applyRead({}, now + 1s);
    CHECK(cold.coldUntil(announced, time_point::min()) == never);
    cold.applyRead(directory, now + 1s);
    CHECK(cold.coldUntil(announced, time_point::min()) == time_point::min());
}

TEST_CASE(
    "An endpoint is cold until the latest time that its entry, its answers or an evacuation give [cold_endpoints]")
{
    const time_point now { 1h };
    announced_endpoint announced { .id = { "e1" }, .pool = { "desk" }, .incarnation = 7 };
    cold_endpoints cold;
    cold.setStartDuration(3s);
    CHECK(cold.coldUntil(announced, now) == now + 3s);
    announced.coldUntil = now + 4s;
    CHECK(cold.coldUntil(announced, now) == now + 4s);
    cold.recordReport(announced.id, 7, now + 5s);
    CHECK(cold.coldUntil(announced, now) == now + 5s);
    announced.incarnation = 8;
    CHECK(cold.coldUntil(announced, now) == now + 4s);
}
