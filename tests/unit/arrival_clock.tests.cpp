#include "kumquatbeam/runtime/arrival_clock.hpp"
#include "kumquatbeam/runtime/arrival_monitor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <thread>

using namespace kumquatbeam;
using std::chrono::milliseconds;

namespace {

const time_point start { std::chrono::hours(1) };

} // namespace

TEST_CASE("Without a pause, bytes arrive when they are read [arrival_clock]")
{
    arrival_clock arrivals(start);
    for (auto now = start; now < start + milliseconds(500); now += pauseTickPeriod) {
        arrivals.tick(now);
        CHECK(arrivals.earliestArrival(now) == now);
    }
}

TEST_CASE("After a pause, the earliest arrival is its start, whether read or tick is handled first [arrival_clock]")
{
    const auto resumedAt = start + milliseconds(2000);
    arrival_clock readFirst(start);
    CHECK(readFirst.earliestArrival(resumedAt) == start);
    readFirst.tick(resumedAt);
    CHECK(readFirst.earliestArrival(resumedAt) == start);

    arrival_clock tickedFirst(start);
    tickedFirst.tick(resumedAt);
    CHECK(tickedFirst.earliestArrival(resumedAt) == start);
}

TEST_CASE("A pause has no effect after the recovery window [arrival_clock]")
{
    const auto resumedAt = start + milliseconds(2000);
    arrival_clock arrivals(start);
    for (auto now = resumedAt; now < resumedAt + pauseRecoveryWindow; now += pauseTickPeriod) {
        arrivals.tick(now);
        CHECK(arrivals.earliestArrival(now) == start);
    }
    const auto later = resumedAt + pauseRecoveryWindow;
    arrivals.tick(later);
    CHECK(arrivals.earliestArrival(later) == later);
}

TEST_CASE("After two pauses in a row, the earliest arrival is the start of the first [arrival_clock]")
{
    arrival_clock arrivals(start);
    const auto resumedAt = start + milliseconds(2000);
    arrivals.tick(resumedAt);
    const auto resumedAgainAt = resumedAt + milliseconds(500);
    CHECK(arrivals.earliestArrival(resumedAgainAt) == start);
}

// LOST: requests that had just arrived were refused as too late, or their answers cut.
TEST_CASE("Once all that had arrived was read, an earlier pause has no effect [arrival_clock]")
{
    arrival_clock arrivals(start);
    auto now = start + milliseconds(2000);
    arrivals.tick(now);
    now += milliseconds(20);
    REQUIRE(arrivals.earliestArrival(now) == start);
    arrivals.caughtUp(now);
    CHECK(arrivals.earliestArrival(now) == now);
    SUBCASE("the next pause counts from its own start")
    {
        const auto lastTick = start + milliseconds(2000);
        CHECK(arrivals.earliestArrival(now + milliseconds(500)) == lastTick);
    }
}

TEST_CASE("A pause after the last bytes were read still counts [arrival_clock]")
{
    arrival_clock arrivals(start);
    const auto resumedAt = start + milliseconds(2000);
    arrivals.tick(resumedAt);
    arrivals.caughtUp(resumedAt + milliseconds(500));
    CHECK(arrivals.earliestArrival(resumedAt + milliseconds(500)) == start);
}

// LOST: a busy event loop never caught up, so requests went on being refused as too late.
TEST_CASE("A pause ends for an event loop that always has a handler to run [arrival_monitor]")
{
    boost::asio::io_context context;
    arrival_monitor arrivals(context);
    arrivals.start();
    std::function<void()> work = [&] { boost::asio::post(context, work); };
    work();
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(arrivals.arrival().earliest < arrivals.arrival().latest - milliseconds(200));
    context.run_for(milliseconds(200));
    CHECK(arrivals.arrival().earliest > clock::now() - milliseconds(100));
}
