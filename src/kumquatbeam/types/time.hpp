#pragma once

#include <chrono>

namespace kumquatbeam {

/// The clock of every deadline. It is monotonic and independent of changes to the time of day. Unlike
/// `std::chrono::steady_clock` it includes the time during which the machine was suspended, so stale state is
/// recognised as stale after a suspension.
struct clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;

    /// Name required by the standard library's clock requirements.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

/// A point in time on `clock`. State stores deadlines as time points, never as durations.
using time_point = clock::time_point;

/// Deadline of something that never expires.
inline constexpr time_point never = time_point::max();

} // namespace kumquatbeam
