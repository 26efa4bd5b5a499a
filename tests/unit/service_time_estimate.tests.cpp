#include "kumquatbeam/decisions/service_time_estimate.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;
using namespace std::chrono_literals;

const time_point start {};

service_cost costOf(std::chrono::microseconds time)
{
    return { time.count() };
}

} // namespace

TEST_CASE("The lower bound is zero before any call was recorded [service_time_estimate]")
{
    const service_time_estimate estimate;
    CHECK(estimate.lowerBound(start) == 0us);
}

TEST_CASE("Calls of equal length give a lower bound near that length [service_time_estimate]")
{
    service_time_estimate estimate;
    for (int call = 0; call < 100; ++call)
        estimate.record(costOf(200ms), start);
    CHECK(estimate.lowerBound(start) > 150ms);
    CHECK(estimate.lowerBound(start) <= 200ms);
}

TEST_CASE(
    "With calls of very different lengths, the lower bound does not exceed the short ones [service_time_estimate]")
{
    service_time_estimate estimate;
    for (int call = 0; call < 100; ++call)
        estimate.record(costOf(call % 2 == 0 ? 10ms : 2000ms), start);
    CHECK(estimate.lowerBound(start) <= 10ms);
}

TEST_CASE("An estimate without recent calls gives a lower bound of zero [service_time_estimate]")
{
    service_time_estimate estimate;
    for (int call = 0; call < 100; ++call)
        estimate.record(costOf(200ms), start);
    CHECK(estimate.lowerBound(start + service_time_estimate::validity) == 0us);
}

TEST_CASE("The estimated wait follows the steady rate of starts [queue_wait_estimate]")
{
    queue_wait_estimate estimate;
    CHECK(estimate.expectedStart(100, start) == start);
    auto now = start;
    for (int call = 0; call < 200; ++call) {
        now += 50ms;
        estimate.recordStart(10, now);
    }
    CHECK(estimate.expectedStart(20, now) > now + 900ms);
    CHECK(estimate.expectedStart(20, now) < now + 1100ms);
}

TEST_CASE("Intervals without waiting calls do not count [queue_wait_estimate]")
{
    queue_wait_estimate estimate;
    auto now = start;
    for (int call = 0; call < 200; ++call) {
        now += 60s;
        estimate.recordStart(0, now);
    }
    CHECK(estimate.expectedStart(10, now) == now);
}

TEST_CASE("The interval after a queue was emptied by deadlines does not count [queue_wait_estimate]")
{
    queue_wait_estimate estimate;
    estimate.recordStart(5, start);
    estimate.recordIdle();
    estimate.recordStart(0, start + 60s);
    CHECK(estimate.expectedStart(10, start + 60s) == start + 60s);
}
