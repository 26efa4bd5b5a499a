#pragma once

#include <chrono>

namespace kumquatbeam {

/// The clock of every deadline. Monotonic; it goes on while a process is stopped, so an old belief is seen to be old.
using clock = std::chrono::steady_clock;

/// A point in time on `clock`. State stores deadlines as time points, never the durations that led to them.
using time_point = clock::time_point;

/// The deadline of something that never comes due.
inline constexpr time_point never = time_point::max();

} // namespace kumquatbeam
