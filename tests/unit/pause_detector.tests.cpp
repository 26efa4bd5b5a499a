#include "kumquatbeam/runtime/pause_detector.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using std::chrono::milliseconds;

namespace {

const time_point start { std::chrono::hours(1) };

} // namespace

TEST_CASE("Without a pause, bytes arrive when they are read [pause_detector]")
{
    pause_detector detector(start);
    for (auto now = start; now < start + milliseconds(500); now += pauseTickPeriod) {
        detector.tick(now);
        CHECK(detector.earliestArrival(now) == now);
    }
}

TEST_CASE("After a pause, bytes may have arrived since its start, whichever is handled first [pause_detector]")
{
    const auto woken = start + milliseconds(2000);
    pause_detector readFirst(start);
    CHECK(readFirst.earliestArrival(woken) == start);
    readFirst.tick(woken);
    CHECK(readFirst.earliestArrival(woken) == start);

    pause_detector tickedFirst(start);
    tickedFirst.tick(woken);
    CHECK(tickedFirst.earliestArrival(woken) == start);
}

TEST_CASE("A pause is forgotten when its aftermath is over [pause_detector]")
{
    const auto woken = start + milliseconds(2000);
    pause_detector detector(start);
    for (auto now = woken; now < woken + pauseAftermath; now += pauseTickPeriod) {
        detector.tick(now);
        CHECK(detector.earliestArrival(now) == start);
    }
    const auto later = woken + pauseAftermath;
    detector.tick(later);
    CHECK(detector.earliestArrival(later) == later);
}

TEST_CASE("Two pauses in a row count from the first [pause_detector]")
{
    pause_detector detector(start);
    const auto woken = start + milliseconds(2000);
    detector.tick(woken);
    const auto wokenAgain = woken + milliseconds(500);
    CHECK(detector.earliestArrival(wokenAgain) == start);
}
