#pragma once

#include "kumquatbeam/types/units.hpp"

namespace kumquatbeam {

/// What happens to a call after an attempt has ended.
enum class attempt_verdict {
    /// The endpoint's complete answer becomes the reply.
    Answer,
    /// The call is sent again from the start.
    Retry,
    /// Another attempt continues the answer after the bytes relayed to the caller.
    Resume,
    /// The call ends; the caller is told that it did not run.
    EndNotRun,
    /// The call ends; the caller is told that the outcome is unknown, and a partly relayed answer is aborted.
    EndUnknown,
};

/// Results of a call's attempts so far, kept while the call waits for another attempt.
struct attempt_history {
    int attempts = 0;
    /// Whether an attempt may have run.
    bool mayHaveRun = false;
    /// Bytes of the answer relayed to the caller.
    byte_count relayedBytes {};
};

/// Maximum attempts of a call, unless set otherwise.
inline constexpr int defaultAttemptLimit = 3;

/// The state of a call when one of its attempts has ended.
struct attempt_state {
    /// The endpoint's complete answer was received.
    bool isComplete = false;
    /// The complete answer reports a failure of the endpoint itself.
    bool isEndpointFailure = false;
    /// No byte of this attempt was sent, or the endpoint reported that it did not run the call.
    bool isProvenNotRun = false;
    /// An earlier attempt may have run.
    bool mayHaveRunBefore = false;
    /// The call is idempotent: it may be sent to an endpoint more than once.
    bool isRepeatable = false;
    /// The pool's endpoints can resume an answer at an offset.
    bool canResume = false;
    /// Bytes of the answer relayed to the caller.
    byte_count relayedBytes {};
    int attempts = 1;
    /// Maximum attempts of the call.
    int attemptLimit = defaultAttemptLimit;
    /// The caller is still waiting, and its deadline has not passed.
    bool isStillAwaited = true;
};

/// The verdict before the retry budget is checked: `Retry` and `Resume` still need a withdrawal from it.
attempt_verdict verdictAfter(const attempt_state&);

/// The verdict when no further attempt follows.
attempt_verdict finalVerdictAfter(const attempt_state&);

} // namespace kumquatbeam
