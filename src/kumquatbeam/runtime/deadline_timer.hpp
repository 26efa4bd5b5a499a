#pragma once

#include "kumquatbeam/types/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatbeam {

/// An Asio timer that waits for a deadline of `clock`.
using deadline_timer = boost::asio::basic_waitable_timer<clock>;

/// Time until a deadline, for streams whose timeouts are relative; never negative.
inline std::chrono::nanoseconds timeLeftUntil(time_point deadline)
{
    /// Caps the wait, so that adding it to the current time cannot overflow.
    constexpr std::chrono::hours longestWait { 24 };
    const auto now = clock::now();
    if (deadline <= now)
        return std::chrono::nanoseconds { 0 };
    return deadline - now > longestWait ? std::chrono::nanoseconds(longestWait) : deadline - now;
}

} // namespace kumquatbeam
