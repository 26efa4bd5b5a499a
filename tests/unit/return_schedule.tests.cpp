#include "kumquatbeam/decisions/admission/return_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace kumquatbeam;

namespace {

const time_point start { std::chrono::hours(1) };

/// Rate at which the router starts calls, in tokens per second.
constexpr double startedPerSecond = 100'000;

constexpr token_count callCost { 1000 };

return_schedule::return_window windowAt(time_point now)
{
    return { now + std::chrono::milliseconds(300), now + std::chrono::milliseconds(2400) };
}

} // namespace

TEST_CASE("A caller that is refused alone returns at the earliest time [return_schedule]")
{
    const return_schedule schedule;
    const auto at = schedule.timeFor(callCost, windowAt(start), startedPerSecond, 0, start);
    CHECK(at == start + std::chrono::milliseconds(300));
}

// Callers that were all told to return within a second met the same load and were refused again.
TEST_CASE("Callers of a burst return in order, at a rate that leaves room for new calls [return_schedule]")
{
    return_schedule schedule;
    std::map<std::int64_t, double> tokensPerSlot;
    time_point last = start;
    auto now = start;
    // 50 callers in 50 ms: two seconds of the part that returning calls may take.
    for (int caller = 0; caller < 50; ++caller, now += std::chrono::milliseconds(1)) {
        const auto at = schedule.timeFor(callCost, windowAt(now), startedPerSecond, 0, now);
        schedule.reserve(callCost, at);
        CHECK(at >= windowAt(now).earliest);
        CHECK(at <= windowAt(now).latest);
        CHECK(at >= last);
        last = at;
        tokensPerSlot[at.time_since_epoch() / std::chrono::milliseconds(100)] += static_cast<double>(callCost.value);
    }
    for (const auto& [slot, tokens] : tokensPerSlot)
        CHECK(tokens <= startedPerSecond * return_schedule::returningFraction / 10 + 1000);
    CHECK(tokensPerSlot.size() >= 19);
}

TEST_CASE("When the window is full, returning callers are spread evenly over it [return_schedule]")
{
    return_schedule schedule;
    std::map<std::int64_t, int> callersPerSlot;
    for (int caller = 0; caller < 1000; ++caller) {
        const auto at = schedule.timeFor(callCost, windowAt(start), startedPerSecond, 0.5, start);
        schedule.reserve(callCost, at);
        ++callersPerSlot[at.time_since_epoch() / std::chrono::milliseconds(100)];
    }
    const auto [fewest, most] = std::minmax_element(callersPerSlot.begin(), callersPerSlot.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    CHECK(callersPerSlot.size() >= 21);
    CHECK(most->second - fewest->second <= 1);
}

TEST_CASE("Reservations of the past do not delay later callers [return_schedule]")
{
    return_schedule schedule;
    for (int caller = 0; caller < 1000; ++caller)
        schedule.reserve(callCost, schedule.timeFor(callCost, windowAt(start), startedPerSecond, 0, start));
    const auto later = start + std::chrono::seconds(7);
    CHECK(schedule.timeFor(callCost, windowAt(later), startedPerSecond, 0, later) == windowAt(later).earliest);
}

TEST_CASE("A router that has started nothing still gives times within the window [return_schedule]")
{
    return_schedule schedule;
    for (int caller = 0; caller < 100; ++caller) {
        const auto at = schedule.timeFor(callCost, windowAt(start), 0, 0.9, start);
        schedule.reserve(callCost, at);
        CHECK(at >= windowAt(start).earliest);
        CHECK(at <= windowAt(start).latest);
    }
    const return_schedule::return_window empty { start, start };
    CHECK(schedule.timeFor(callCost, empty, 0, 1, start) == start);
}
