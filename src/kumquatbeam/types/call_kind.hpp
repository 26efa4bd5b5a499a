#pragma once

namespace kumquatbeam {

/// Whether a routed call may be retried. Every retry decision uses this enumeration.
enum class call_kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each request of a caller.
    NonIdempotent,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another endpoint may continue after any event.
    ResumableStream,
};

constexpr bool isStream(call_kind kind)
{
    return kind == call_kind::Stream || kind == call_kind::ResumableStream;
}

/// Whether a call of this kind may be sent to another endpoint after it may have run at one.
constexpr bool mayRunAgain(call_kind kind)
{
    return kind == call_kind::Idempotent || kind == call_kind::ResumableStream;
}

} // namespace kumquatbeam
