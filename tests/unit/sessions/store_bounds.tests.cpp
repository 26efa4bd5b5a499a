#include "store_reader_fixture.hpp"

#include "platform/store_duty.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using namespace kumquatbeam::platform;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

// DRAIN: the store was read at the period of the bounds that the process had started with.
TEST_CASE("Lowered bounds bring the next read forward and shorten the period of those after it [store_reader]")
{
    store_fixture fixture({ .opening = response(pageOf("")) }, 60s);
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    fixture.setChangePropagationLimit(2000ms);
    REQUIRE(fixture.awaits<directory_observed>(3, 4s));
    const auto reads = fixture.all<directory_observed>();
    for (std::size_t i = 1; i < reads.size(); ++i) {
        CHECK(reads[i].readStartedAt - reads[i - 1].readStartedAt >= 900ms);
        CHECK(reads[i].readStartedAt - reads[i - 1].readStartedAt < 1500ms);
    }
}

TEST_CASE("Lowered bounds start an overdue read at once [store_reader]")
{
    store_fixture fixture({ .opening = response(pageOf("")) }, 60s);
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    runUntil(
        fixture.context, [] { return false; }, 1200ms);
    const auto reloaded = clock::now();
    fixture.setChangePropagationLimit(2000ms);
    REQUIRE(fixture.awaits<directory_observed>(2, 2s));
    CHECK(fixture.all<directory_observed>().back().readStartedAt >= reloaded);
    CHECK(fixture.all<directory_observed>().back().readStartedAt < reloaded + 300ms);
}

TEST_CASE("Raised bounds leave the next read in its place and lengthen the period after it [store_reader]")
{
    store_fixture fixture({ .opening = response(pageOf("")) });
    REQUIRE(fixture.awaits<directory_observed>(1, 2s));
    fixture.setChangePropagationLimit(60s);
    REQUIRE(fixture.awaits<directory_observed>(2, 2s));
    CHECK_FALSE(fixture.awaits<directory_observed>(3, 1500ms));
}

TEST_CASE("Bounds that change during a read start no second one beside it [store_reader]")
{
    store_fixture fixture({ .opening = "" }, 60s);
    REQUIRE(runUntil(
        fixture.context, [&] { return fixture.server.requests() == 1; }, 2s));
    fixture.setChangePropagationLimit(2000ms);
    CHECK_FALSE(runUntil(
        fixture.context, [&] { return fixture.server.requests() > 1 || fixture.server.connections() > 1; }, 400ms));
}

TEST_CASE("Bounds in the ring of the store's duty reach its reads [store_reader]")
{
    boost::asio::io_context context;
    scripted_server server(context, { .opening = response(pageOf("")) });
    router_settings settings;
    settings.platformAddress = "127.0.0.1";
    settings.platformPort = server.port();
    route_bounds bounds;
    bounds.changePropagationLimit = 60s;
    duty<decision_event> decisions("decisions", { .capacity = 64 });
    duty_links links;
    links.decisions = &decisions;
    store_duty store(settings, bounds, links);
    store.start();
    REQUIRE(runUntil(
        context, [&] { return server.requests() == 1; }, 2s));
    bounds.changePropagationLimit = 2000ms;
    REQUIRE(store.inbox().tryPost(bounds));
    CHECK(runUntil(
        context, [&] { return server.requests() >= 3; }, 4s));
    store.stop();
}
