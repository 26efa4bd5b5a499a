#pragma once

#include "kumquatbeam/types/units.hpp"

namespace kumquatbeam {

/// What follows after an attempt has ended.
enum class attempt_verdict {
    /// The endpoint's whole answer is the reply.
    Answer,
    /// The call is sent again from its beginning.
    Retry,
    /// The answer goes on at another attempt from the bytes that the caller has.
    Resume,
    /// The caller is told that the call did not run.
    EndNotRun,
    /// The caller is told that the outcome is unknown; an answer that has begun is broken off.
    EndUnknown,
};

/// What the attempts of a call so far have left behind; a call that waits for another attempt keeps it.
struct attempt_history {
    int attempts = 0;
    /// Whether one of them may have run.
    bool mayHaveRun = false;
    /// Bytes of the answer that the caller has.
    byte_count relayedBytes {};
};

/// Attempts that one call may have where nothing else is said.
inline constexpr int defaultAttemptLimit = 3;

/// What is known about a call when one of its attempts has ended.
struct attempt_state {
    /// The endpoint's whole answer was received.
    bool isComplete = false;
    /// That answer reports a failure of the endpoint's own.
    bool isEndpointFailure = false;
    /// No byte of this attempt went out, or the endpoint said that it did not run the call.
    bool isProvenNotRun = false;
    /// An earlier attempt may have run.
    bool mayHaveRunBefore = false;
    /// Whether the call may be sent to an endpoint more than once.
    bool isRepeatable = false;
    /// Whether the pool's endpoints resume an answer by offset.
    bool canResume = false;
    /// Bytes of the answer that the caller has.
    byte_count relayedBytes {};
    int attempts = 1;
    /// Attempts that the call may have in all.
    int attemptLimit = defaultAttemptLimit;
    /// The caller still waits, and its deadline has not passed.
    bool isStillAwaited = true;
};

/// What would follow if the retry budget allows it: `Retry` and `Resume` still have to be paid for.
attempt_verdict verdictAfter(const attempt_state&);

/// How the call ends when it is not tried again.
attempt_verdict finalVerdictAfter(const attempt_state&);

} // namespace kumquatbeam
