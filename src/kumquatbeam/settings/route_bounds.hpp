#pragma once

#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// Bounds that a router of routed calls keeps to. The platform states them in the settings of the process.
struct route_bounds {
    /// Time after which a key that was taken away must not be accepted any more.
    std::chrono::milliseconds keyRevocationLimit { 5000 };
    /// Time in which a change that operators or endpoints publish has to be in force.
    std::chrono::milliseconds changePropagationLimit { 2000 };
    /// Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds gracePeriod { 8000 };
    /// Time for which an endpoint whose announcement lapsed in an outage of the directory may stay away after it.
    std::chrono::milliseconds reannounceGracePeriod { 2200 };
    /// @{ Repeats that the whole fleet may send to a pool: a part of its requests, and an allowance beside it, in each
    /// window.
    double retryRatio = 0.2;
    std::int64_t retryAllowance = 50;
    std::chrono::milliseconds retryWindow { 10'000 };
    /// @}
};

} // namespace kumquatbeam
