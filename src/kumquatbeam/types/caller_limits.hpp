#pragma once

#include "kumquatbeam/types/units.hpp"

#include <chrono>

namespace kumquatbeam {

/// Size and time limits for callers.
struct caller_limits {
    /// Largest header of a request.
    byte_count header { 16 * 1024 };
    /// Largest body of a request.
    byte_count body { 1024 * 1024 };
    /// Longest time from the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout { 30'000 };
    /// Longest time that a connection may stay idle between requests.
    std::chrono::milliseconds idleTimeout { 120'000 };

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

} // namespace kumquatbeam
