#include "kumquatbeam/decisions/attempt_policy.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

TEST_CASE("A complete answer is the reply, whatever the earlier attempts did [attempt_policy]")
{
    CHECK(verdictAfter({ .isComplete = true }) == attempt_verdict::Answer);
    CHECK(verdictAfter({ .isComplete = true, .mayHaveRunBefore = true, .attempts = defaultAttemptLimit })
        == attempt_verdict::Answer);
}

TEST_CASE("An attempt that is proven not to have run is retried, also for orders [attempt_policy]")
{
    CHECK(verdictAfter({ .isProvenNotRun = true, .isRepeatable = false }) == attempt_verdict::Retry);
}

TEST_CASE("An order that may have run is never retried [attempt_policy]")
{
    CHECK(verdictAfter({ .isRepeatable = false }) == attempt_verdict::EndUnknown);
    CHECK(verdictAfter({ .isProvenNotRun = true, .mayHaveRunBefore = true, .isRepeatable = false })
        == attempt_verdict::EndUnknown);
}

TEST_CASE("An idempotent call is retried only while no byte of its answer was relayed [attempt_policy]")
{
    CHECK(verdictAfter({ .isRepeatable = true }) == attempt_verdict::Retry);
    CHECK(verdictAfter({ .isRepeatable = true, .relayedBytes = { 1 } }) == attempt_verdict::EndUnknown);
}

TEST_CASE("A partly relayed answer is resumed if the pool supports it, also after a refused resume [attempt_policy]")
{
    CHECK(verdictAfter({ .isRepeatable = true, .canResume = true, .relayedBytes = { 1 } }) == attempt_verdict::Resume);
    CHECK(verdictAfter({ .isProvenNotRun = true, .isRepeatable = true, .canResume = true, .relayedBytes = { 1 } })
        == attempt_verdict::Resume);
}

TEST_CASE("No attempt follows the last one, a disconnected caller or a passed deadline [attempt_policy]")
{
    CHECK(verdictAfter({ .isProvenNotRun = true, .attempts = defaultAttemptLimit }) == attempt_verdict::EndNotRun);
    CHECK(verdictAfter({ .isProvenNotRun = true, .isStillAwaited = false }) == attempt_verdict::EndNotRun);
    CHECK(verdictAfter({ .isRepeatable = true, .isStillAwaited = false }) == attempt_verdict::EndUnknown);
}

TEST_CASE("A call is reported as not run only when no attempt of it may have run [attempt_policy]")
{
    CHECK(finalVerdictAfter({ .isProvenNotRun = true }) == attempt_verdict::EndNotRun);
    CHECK(finalVerdictAfter({ .isProvenNotRun = true, .mayHaveRunBefore = true }) == attempt_verdict::EndUnknown);
    CHECK(finalVerdictAfter({ .isProvenNotRun = true, .relayedBytes = { 1 } }) == attempt_verdict::EndUnknown);
    CHECK(finalVerdictAfter({}) == attempt_verdict::EndUnknown);
}
