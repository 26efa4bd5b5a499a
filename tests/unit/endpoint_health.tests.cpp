#include "kumquatbeam/decisions/endpoint_health.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;

const time_point start {};
const endpoint_id first { "first" };
const endpoint_id second { "second" };

endpoint_health healthOfFour()
{
    endpoint_health health;
    health.setEndpoints({ first, second, { "third" }, { "fourth" } });
    return health;
}

void failCalls(endpoint_health& health, const endpoint_id& endpoint, time_point now)
{
    for (int failure = 0; failure < endpoint_health::failuresToEject; ++failure)
        health.recordFailure(endpoint, now);
}

} // namespace

TEST_CASE("Only consecutive failures eject an endpoint [endpoint_health]")
{
    auto health = healthOfFour();
    for (int round = 0; round < 5; ++round) {
        health.recordFailure(first, start);
        health.recordFailure(first, start);
        health.recordAnswer(first, start);
    }
    CHECK(health.admits(first, false, start));
    failCalls(health, first, start);
    CHECK_FALSE(health.admits(first, false, start));
    CHECK(health.nextEjectionEnd(start) == start + endpoint_health::firstEjectionDuration);
}

TEST_CASE("Two consecutive failed connections eject an endpoint, and one does not [endpoint_health]")
{
    auto health = healthOfFour();
    health.recordUnreachable(first, start);
    CHECK(health.admits(first, false, start));
    health.recordAnswer(first, start);
    health.recordUnreachable(first, start);
    CHECK(health.admits(first, false, start));
    health.recordUnreachable(first, start);
    CHECK_FALSE(health.admits(first, false, start));
}

TEST_CASE("Unanswered load probes eject an endpoint [endpoint_health]")
{
    auto health = healthOfFour();
    for (int probe = 0; probe < endpoint_health::failuresToEject; ++probe)
        health.recordProbe(first, false, start);
    CHECK_FALSE(health.admits(first, false, start));
}

TEST_CASE("An ejected endpoint returns with one trial call at a time [endpoint_health]")
{
    auto health = healthOfFour();
    failCalls(health, first, start);
    const auto back = start + endpoint_health::firstEjectionDuration;
    CHECK(health.admits(first, false, back));
    CHECK_FALSE(health.admits(first, true, back));
    health.recordAnswer(first, back);
    CHECK(health.admits(first, true, back));
}

TEST_CASE("A failed trial doubles the ejection duration, up to the maximum [endpoint_health]")
{
    auto health = healthOfFour();
    failCalls(health, first, start);
    auto now = start + endpoint_health::firstEjectionDuration;
    health.recordFailure(first, now);
    CHECK(health.nextEjectionEnd(now) == now + 2 * endpoint_health::firstEjectionDuration);
    for (int trial = 0; trial < 10; ++trial) {
        now = health.nextEjectionEnd(now);
        health.recordFailure(first, now);
    }
    CHECK(health.nextEjectionEnd(now) == now + endpoint_health::maximumEjectionDuration);
}

TEST_CASE("A call that was in flight when its endpoint was ejected does not end the ejection [endpoint_health]")
{
    auto health = healthOfFour();
    failCalls(health, first, start);
    health.recordAnswer(first, start);
    CHECK_FALSE(health.admits(first, false, start));
}

TEST_CASE("At most half of the pool is ejected, and the only endpoint never is [endpoint_health]")
{
    auto health = healthOfFour();
    for (const auto* name : { "first", "second", "third", "fourth" })
        failCalls(health, { name }, start);
    CHECK_FALSE(health.admits(first, false, start));
    CHECK_FALSE(health.admits(second, false, start));
    CHECK(health.admits({ "third" }, true, start));
    CHECK(health.admits({ "fourth" }, true, start));

    endpoint_health alone;
    alone.setEndpoints({ first });
    failCalls(alone, first, start);
    CHECK(alone.admits(first, true, start));
}

TEST_CASE("An endpoint that passed its probation is ejected for the first duration again [endpoint_health]")
{
    auto health = healthOfFour();
    failCalls(health, first, start);
    const auto back = start + endpoint_health::firstEjectionDuration;
    health.recordAnswer(first, back);
    const auto probationEnd = back + endpoint_health::probationPeriod;
    health.recordAnswer(first, probationEnd);
    failCalls(health, first, probationEnd);
    CHECK(health.nextEjectionEnd(probationEnd) == probationEnd + endpoint_health::firstEjectionDuration);
}
