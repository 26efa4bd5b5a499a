#include "store_reader_fixture.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using namespace kumquatbeam::platform;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

TEST_CASE("An odd entry hides no other entry of the page [store_reader]")
{
    const auto nested = std::string(100'000, '[') + std::string(100'000, ']');
    const auto page = R"({"items":[)" + item("servers/a", goodEntry) + ","
        + item("servers/deep", R"({"service":)" + nested + "}") + ","
        + item("servers/large",
            R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":5000000000,"state":"ready",)"
            R"("cold_remaining_ms":0,"sequence":4})")
        + ","
        + item("servers/port",
            R"({"service":"s1","address":"10.0.0.1:99999","zone":"z","version":"v1","slots":4,"state":"ready",)"
            R"("cold_remaining_ms":0,"sequence":4})")
        + R"(,{"key":"servers/no-revision","value":""},{"key":"servers/null","revision":4,"value":null},7,)"
        + R"({"key":"servers/huge","revision":99999999999999999999999,"value":""},)" + item("servers/z", goodEntry)
        + R"(],"truncated":false,"store_revision":9})";
    store_fixture fixture({ .opening = response(page) });
    REQUIRE(fixture.awaits<directory_observed>(2, 5s));
    const auto& endpoints = fixture.all<directory_observed>().back().directory->endpoints;
    CHECK(endpoints.size() == 2);
    CHECK(endpoints.contains({ "a" }));
    CHECK(endpoints.contains({ "z" }));
    CHECK(fixture.all<source_lost>().empty());
    for (const auto& faulty : fixture.all<source_faulty>())
        CHECK(describe(faulty.problem).size() < 400);
}

// LOST: one deeply nested entry of 1 MiB took a router over its memory.
TEST_CASE("An entry larger than any endpoint's names no endpoint, is reported once, and hides no other [store_reader]")
{
    const auto page = pageOf(item("op/config", configuration("p")) + "," + item("servers/a", goodEntry) + ","
        + item("servers/large", std::string(1024 * 1024, '[')) + "," + item("servers/z", goodEntry));
    store_fixture fixture({ .opening = response(page) });
    REQUIRE(fixture.awaits<directory_observed>(2, 5s));
    const auto& endpoints = fixture.all<directory_observed>().back().directory->endpoints;
    CHECK(endpoints.size() == 2);
    CHECK(endpoints.contains({ "a" }));
    CHECK(endpoints.contains({ "z" }));
    CHECK(fixture.all<routes_observed>().back().table->pools.contains({ "p" }));
    CHECK(fixture.all<source_lost>().empty());
    const auto faults = fixture.all<source_faulty>();
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().problem.kind == failure_kind::MalformedValue);
    CHECK(faults.front().problem.place == "entry of large");
}

// Guards against a configuration that is taken in part, or that ends the read of the endpoints beside it.
TEST_CASE("A configuration over the limits leaves the last one in force [store_reader]")
{
    store_fixture fixture({ .opening = response(pageOf(item("op/config", configuration("kept")))) });
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    auto over = item("op/config",
        R"({"version":9,"services":[{"name":"over"}],"routes":[],"limits":)" + std::string(100, '[')
            + std::string(100, ']') + "}");
    over.replace(over.find("\"revision\":3"), 12, "\"revision\":4");
    fixture.server.sendOnNextRequest(response(pageOf(over + "," + item("servers/a", goodEntry))));
    REQUIRE(fixture.awaits<directory_observed>(2, 3s));
    CHECK(fixture.all<directory_observed>().back().directory->endpoints.size() == 1);
    CHECK(fixture.all<routes_observed>().back().table->pools.contains({ "kept" }));
    REQUIRE(fixture.all<source_faulty>().size() == 1);
    CHECK(fixture.all<source_faulty>().front().problem.place == "op/config revision 4");
    CHECK(fixture.all<source_lost>().empty());
}

TEST_CASE("A page that never advances ends the read instead of repeating it for ever [store_reader]")
{
    store_fixture fixture(
        { .opening = response(R"({"items":[)" + item("servers/a", goodEntry) + R"(],"truncated":true})") });
    CHECK(fixture.awaits<source_lost>(1, 5s));
    CHECK(fixture.server.requests() <= 3);
}

TEST_CASE("A store that sends without end is given up and read again [store_reader]")
{
    const std::string kilobyte(1024, 'x');
    for (const auto& script : { server_script { .opening = "HTTP/1.1 200 ", .repeated = kilobyte },
             server_script { .opening = "HTTP/1.1 200 OK\r\n", .repeated = "X-Line: " + kilobyte + "\r\n" },
             server_script {
                 .opening = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", .repeated = kilobyte },
             server_script { .opening = "HTTP/1.1 200 OK\r\n\r\n", .repeated = kilobyte },
             server_script { .opening = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Large: "
                     + std::string(70'000, 'x') + "\r\n\r\n" },
             server_script {
                 .opening = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", .repeated = "x", .pause = 20ms } }) {
        store_fixture fixture(script);
        CHECK(fixture.awaits<source_lost>(1, 3s));
        CHECK(runUntil(
            fixture.context, [&] { return fixture.server.connections() >= 2; }, 3s));
        CHECK(fixture.all<directory_observed>().empty());
    }
}

// DRAIN: after a cut, the first sound read came up to 0.95 s late.
TEST_CASE("A store that is back is read within the time of one page, and the read says when it was away [store_reader]")
{
    const auto page = response(R"({"items":[)" + item("servers/a", goodEntry) + R"(],"truncated":false})");
    store_fixture fixture({ .opening = page });
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    CHECK_FALSE(fixture.all<directory_observed>().front().outageEndedAfter);
    fixture.server.setScript({ .opening = "" });
    fixture.server.silence();
    REQUIRE(fixture.awaits<source_lost>(1, 3s));
    const auto connections = fixture.server.connections();
    REQUIRE(runUntil(
        fixture.context, [&] { return fixture.server.connections() >= connections + 2; }, 3s));
    const auto returned = clock::now();
    fixture.server.setScript({ .opening = page });
    REQUIRE(fixture.awaits<directory_observed>(2, 3s));
    const auto read = fixture.all<directory_observed>().back();
    REQUIRE(read.outageEndedAfter);
    CHECK(*read.outageEndedAfter <= returned);
    CHECK(*read.outageEndedAfter >= returned - 100ms);
    CHECK(read.readStartedAt <= returned + 800ms);
    CHECK(read.readStartedAt >= returned);
}

// Lost service: an announcement that came back was read up to 0.9 s late, after the endpoint had been forgotten.
TEST_CASE("After an outage the store is read more often until missing announcements are back [store_reader]")
{
    const auto page = response(R"({"items":[],"truncated":false})");
    store_fixture fixture({ .opening = "" });
    REQUIRE(fixture.awaits<source_lost>(1, 3s));
    fixture.server.setScript({ .opening = page });
    REQUIRE(fixture.awaits<directory_observed>(1, 3s));
    const auto first = fixture.all<directory_observed>().front().readStartedAt;
    REQUIRE(fixture.awaits<directory_observed>(7, 6s));
    const auto reads = fixture.all<directory_observed>();
    for (std::size_t i = 1; i < reads.size(); ++i) {
        if (reads[i].readStartedAt < first + fixture.bounds.reannounceGracePeriod)
            CHECK(reads[i].readStartedAt - reads[i - 1].readStartedAt < 500ms);
    }
    CHECK(reads.back().readStartedAt > first + fixture.bounds.reannounceGracePeriod);
}

TEST_CASE("An observation states the era of the store, zero if the store states none or a malformed one [store_reader]")
{
    struct stated_era {
        std::string text;
        std::uint64_t era;
        bool isFaulty;
    };
    for (const auto& [text, era, isFaulty] :
        { stated_era { "", 0, false }, stated_era { "7", 7, false }, stated_era { "-1", 0, true },
            stated_era { "7x", 0, true }, stated_era { "99999999999999999999999", 0, true } }) {
        store_fixture fixture({ .opening = response(pageOf(item("op/config", configuration("p"))), text) });
        REQUIRE(fixture.awaits<directory_observed>(1, 2s));
        CHECK(fixture.all<directory_observed>().front().era.value == era);
        CHECK(fixture.all<routes_observed>().front().era.value == era);
        CHECK(fixture.all<source_faulty>().empty() != isFaulty);
    }
}

// After a restore, revisions are assigned again. A value decoded before it was taken for the new one.
TEST_CASE("A revision that is assigned again after a restore is decoded anew [store_reader]")
{
    const auto moved = R"({"service":"s1","address":"10.128.0.10:8080","zone":"z","version":"v1","slots":48,)"
                       R"("state":"ready","cold_remaining_ms":0,"sequence":4,"born":18})";
    store_fixture fixture({ .opening
        = response(pageOf(item("op/config", configuration("old")) + "," + item("servers/a", goodEntry)), "3") });
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    CHECK(fixture.all<directory_observed>().back().directory->revisions.at({ "a" }).value == 3);
    fixture.server.sendOnNextRequest(
        response(pageOf(item("op/config", configuration("new")) + "," + item("servers/a", moved)), "4"));
    REQUIRE(fixture.awaits<directory_observed>(2, 3s));
    const auto& endpoint = fixture.all<directory_observed>().back().directory->endpoints.at({ "a" });
    CHECK(endpoint.address == "10.128.0.10");
    CHECK(endpoint.incarnation == 18);
    const auto routes = fixture.all<routes_observed>().back();
    CHECK(routes.era.value == 4);
    CHECK(routes.table->pools.contains({ "new" }));
    CHECK(fixture.all<source_lost>().empty());
}

// Pages from before and after a restore together are a state that the store never had.
TEST_CASE("A read whose pages come from two eras is restarted and not reported [store_reader]")
{
    store_fixture fixture({ .opening = response(pageOf(item("servers/a", goodEntry), true), "3") });
    REQUIRE(runUntil(
        fixture.context, [&] { return fixture.server.requests() >= 1; }, 2s));
    const auto started = clock::now();
    fixture.server.sendOnNextRequest(response(pageOf(item("servers/b", goodEntry)), "4"));
    REQUIRE(fixture.awaits<directory_observed>(1, 3s));
    const auto read = fixture.all<directory_observed>().front();
    CHECK(read.era.value == 4);
    CHECK(read.directory->endpoints.size() == 1);
    CHECK(read.directory->endpoints.contains({ "b" }));
    CHECK(read.readStartedAt >= started + 150ms);
    CHECK(fixture.all<source_faulty>().size() == 1);
    CHECK(fixture.all<source_lost>().empty());
}

TEST_CASE("After a restore the store is read more often until lost entries are back [store_reader]")
{
    store_fixture fixture({ .opening = response(pageOf(""), "3") });
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    fixture.server.sendOnNextRequest(response(pageOf(""), "4"));
    REQUIRE(fixture.awaits<directory_observed>(2, 3s));
    const auto restored = fixture.all<directory_observed>().back().readStartedAt;
    REQUIRE(fixture.awaits<directory_observed>(5, 4s));
    const auto reads = fixture.all<directory_observed>();
    CHECK(reads[4].readStartedAt - restored < 1500ms);
}

// Guards against an evacuation that is missed because of its value, or that a name which no failure domain has
// stands for.
TEST_CASE("A read shows the evacuated failure domains, and one that fails shows nothing [store_reader]")
{
    const std::string tail = R"(],"truncated":false})";
    const auto page = R"({"items":[)" + item("op/evacuate/", "{}") + "," + item("op/evacuate/north", "{}") + ","
        + item("op/evacuate/south", "not json") + R"(,{"key":"op/evacuate/west","value":null},)"
        + item("op/evacuate/a\\r\\nb", "{}") + "," + item("op/evacuated/east", "{}") + ","
        + item("servers/a", goodEntry);
    store_fixture fixture({ .opening = response(page + tail) });
    REQUIRE(fixture.awaits<directory_observed>(1, 5s));
    const auto first = fixture.all<directory_observed>().front().directory;
    CHECK(first->evacuatedDomains == std::set<failure_domain_id> { { "north" }, { "south" }, { "west" } });
    CHECK(first->endpoints.size() == 1);
    CHECK(fixture.all<source_faulty>().size() == 2);
    // The connection is lost, and the first page of the next reads has no second one.
    fixture.server.setScript(
        { .opening = response(R"({"items":[)" + item("op/evacuate/north", "{}") + R"(],"truncated":true})") });
    fixture.server.silence();
    REQUIRE(fixture.awaits<source_lost>(1, 5s));
    const auto reads = fixture.all<directory_observed>().size();
    const auto connections = fixture.server.connections();
    REQUIRE(runUntil(
        fixture.context, [&] { return fixture.server.connections() >= connections + 2; }, 3s));
    CHECK(fixture.all<directory_observed>().size() == reads);
    fixture.server.setScript({ .opening = response(R"({"items":[)" + item("servers/a", goodEntry) + tail) });
    REQUIRE(fixture.awaits<directory_observed>(reads + 1, 5s));
    for (std::size_t i = 0; i < reads; ++i)
        CHECK(fixture.all<directory_observed>()[i].directory->evacuatedDomains.size() == 3);
    CHECK(fixture.all<directory_observed>().back().directory->evacuatedDomains.empty());
}

TEST_CASE("A cold time counts from the read that showed it first [store_reader]")
{
    auto entry = goodEntry;
    entry.replace(entry.find("\"cold_remaining_ms\":0"), 21, "\"cold_remaining_ms\":9000");
    store_fixture fixture(
        { .opening = response(R"({"items":[)" + item("servers/a", entry) + R"(],"truncated":false})") });
    REQUIRE(fixture.awaits<directory_observed>(2, 5s));
    const auto reads = fixture.all<directory_observed>();
    const auto coldUntil = reads.front().directory->endpoints.at({ "a" }).coldUntil;
    CHECK(coldUntil > reads.front().readStartedAt + 8s);
    CHECK(coldUntil < reads.front().readStartedAt + 10s);
    CHECK(reads.back().directory->endpoints.at({ "a" }).coldUntil == coldUntil);
}
