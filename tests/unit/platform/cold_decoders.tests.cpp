#include "platform/endpoint_decoder.hpp"
#include "platform/entry_settings.hpp"
#include "platform/platform_endpoint_dialect.hpp"
#include "platform/route_decoder.hpp"
#include "platform/store_page.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using namespace kumquatbeam::platform;
using namespace std::chrono_literals;

namespace {

constexpr time_point now { 1h };

std::string entryWith(const std::string& coldTime)
{
    return R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":48,"state":"ready",)"
           R"("cold_remaining_ms":)"
        + coldTime + R"(,"sequence":4,"born":17})";
}

absl::StatusOr<route_table> tableWith(const std::string& fields)
{
    return decodeRoutes(R"({"version":7,"routes":[],"services":[{"name":"s1","engine":{"slots":48})" + fields + "}]}");
}

absl::StatusOr<entry_settings> settingsWith(const std::string& bounds)
{
    std::vector<failure> faults;
    return parseEntrySettings(R"(node_name = "n1"
ip_address = "10.1.0.33"
zone = "sohar"
internal_port_range = [7400,7415]
[listen]
frontend = "10.1.0.33:8783"
readiness = "10.1.0.33:8780"
[platform]
address = "10.200.1.7:8781"
[bounds]
revocation_ms = 5000
grace_period_s = 8
retry_budget_ratio = 0.2
budget_slack = 54
budget_window_s = 10
)" + bounds,
        faults);
}

} // namespace

// Guards against an endpoint that is taken for warm although its entry says otherwise, or for cold for ever.
TEST_CASE("The cold time of an entry becomes a deadline; an entry without one is warm [platform]")
{
    CHECK(decodeEndpoint("i-1", entryWith("0"), now)->coldUntil == time_point::min());
    CHECK(decodeEndpoint("i-1", entryWith("2500"), now)->coldUntil == now + 2500ms);
    CHECK(decodeEndpoint("i-1", entryWith("2500.7"), now)->coldUntil == now + 2500ms);
    CHECK_FALSE(decodeEndpoint("i-1", entryWith("-1"), now).ok());
}

TEST_CASE("A pool has a cold start only if both of its figures are set [platform]")
{
    const auto both = tableWith(R"(,"cold_start_s":3,"cold_per_s":19)");
    REQUIRE(both.ok());
    REQUIRE(both->pools.at({ "s1" }).coldStart);
    CHECK(both->pools.at({ "s1" }).coldStart->duration == 3s);
    CHECK(both->pools.at({ "s1" }).coldStart->requestsPerSecond == 19);
    CHECK(tableWith(R"(,"cold_start_s":2.5,"cold_per_s":0.5)")->pools.at({ "s1" }).coldStart->duration == 2500ms);
    for (const char* fields : { "", R"(,"cold_start_s":3)", R"(,"cold_per_s":19)",
             R"(,"cold_start_s":0,"cold_per_s":19)", R"(,"cold_start_s":3,"cold_per_s":0)" }) {
        const auto table = tableWith(fields);
        REQUIRE(table.ok());
        CHECK_FALSE(table->pools.at({ "s1" }).coldStart);
    }
    for (const char* fields : { R"(,"cold_start_s":-1)", R"(,"cold_per_s":"x")", R"(,"cold_per_s":1e300)" })
        CHECK_FALSE(tableWith(fields).ok());
}

TEST_CASE("The settings bound cold endpoints only if both figures are set [platform]")
{
    const auto both = settingsWith("cold_overshoot = 1.5\ncold_slack = 5\n");
    REQUIRE(both.ok());
    REQUIRE(both->bounds.cold);
    CHECK(both->bounds.cold->overshoot == 1.5);
    CHECK(both->bounds.cold->slack == 5);
    for (const char* bounds : { "", "cold_overshoot = 1.5\n", "cold_slack = 5\n",
             "cold_overshoot = 1.5\ncold_slack = 0\n", "cold_overshoot = 0\ncold_slack = 5\n" })
        CHECK_FALSE(settingsWith(bounds)->bounds.cold);
    CHECK_FALSE(settingsWith("cold_slack = -1\n").ok());
}

// Guards against reads that are too rare for the time within which an evacuation must be in force.
TEST_CASE("The time for an evacuation bounds the time for changes, and does not extend it [platform]")
{
    const std::string others = "configuration_apply_ms = 3000\ndrain_ms = 2500\n";
    CHECK(settingsWith(others)->bounds.changePropagationLimit == 2500ms);
    CHECK(settingsWith(others + "evacuation_ms = 5000\n")->bounds.changePropagationLimit == 2500ms);
    CHECK(settingsWith(others + "evacuation_ms = 1500\n")->bounds.changePropagationLimit == 1500ms);
    CHECK_FALSE(settingsWith(others + "evacuation_ms = 10\n").ok());
}

TEST_CASE("An endpoint says in its answers that it is cold [platform]")
{
    const platform_endpoint_dialect dialect;
    const auto noticeOf = [&](const char* text) {
        boost::beast::http::response_header<> head;
        head.result(200);
        head.set("Cold-Milliseconds", text);
        return dialect.noticeOf(head, now);
    };
    CHECK(noticeOf("1200").coldUntil == now + 1200ms);
    for (const char* text : { "0", "", "-1", "soon", "99999999999999999999" })
        CHECK(noticeOf(text).isEmpty());
}

// Guards against an evacuation that ends because its item is odd.
TEST_CASE("The key of an evacuation counts whatever its value is [platform]")
{
    const auto page = decodeStorePage(
        R"({"items":[{"key":"op/evacuate/a","value":"e30=","revision":4},{"key":"op/evacuate/b","value":null},)"
        R"({"key":"op/evacuate/c"},{"key":"op/evacuate/d","value":7,"revision":-1}]})");
    REQUIRE(page.ok());
    CHECK(page->items.size() == 4);
    CHECK(page->lastKey == "op/evacuate/d");
}
