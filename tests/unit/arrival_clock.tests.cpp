#include "kumquatbeam/runtime/arrival_clock.hpp"

#include <doctest/doctest.h>

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

TEST_CASE("After a pause, bytes may have arrived since its start, whichever is handled first [arrival_clock]")
{
    const auto woken = start + milliseconds(2000);
    arrival_clock readFirst(start);
    CHECK(readFirst.earliestArrival(woken) == start);
    readFirst.tick(woken);
    CHECK(readFirst.earliestArrival(woken) == start);

    arrival_clock tickedFirst(start);
    tickedFirst.tick(woken);
    CHECK(tickedFirst.earliestArrival(woken) == start);
}

TEST_CASE("A pause is forgotten when its aftermath is over [arrival_clock]")
{
    const auto woken = start + milliseconds(2000);
    arrival_clock arrivals(start);
    for (auto now = woken; now < woken + pauseRecoveryWindow; now += pauseTickPeriod) {
        arrivals.tick(now);
        CHECK(arrivals.earliestArrival(now) == start);
    }
    const auto later = woken + pauseRecoveryWindow;
    arrivals.tick(later);
    CHECK(arrivals.earliestArrival(later) == later);
}

TEST_CASE("Two pauses in a row count from the first [arrival_clock]")
{
    arrival_clock arrivals(start);
    const auto woken = start + milliseconds(2000);
    arrivals.tick(woken);
    const auto wokenAgain = woken + milliseconds(500);
    CHECK(arrivals.earliestArrival(wokenAgain) == start);
}
