#pragma once

#include <chrono>

namespace kumquatbeam {

/// The clock of every deadline. Monotonic, and unlike `std::chrono::steady_clock` it counts the time for which the
/// machine was suspended, so an old belief is seen to be old. It takes no notice of steps of the time of day.
struct clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;

    /// The standard library asks for this name.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

/// A point in time on `clock`. State stores deadlines as time points, never the durations that led to them.
using time_point = clock::time_point;

/// The deadline of something that never comes due.
inline constexpr time_point never = time_point::max();

} // namespace kumquatbeam
