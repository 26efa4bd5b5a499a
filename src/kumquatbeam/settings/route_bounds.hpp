#pragma once

#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// Bounds that a router of routed calls must meet. The platform sets them in the settings of the process.
struct route_bounds {
    /// Time after its revocation from which an account key must no longer be accepted.
    std::chrono::milliseconds keyRevocationLimit { 5000 };
    /// Time within which a change published by operators or endpoints must be in force.
    std::chrono::milliseconds changePropagationLimit { 2000 };
    /// Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds gracePeriod { 8000 };
    /// Grace period after an outage of the directory for endpoints whose announcement expired during it to reannounce
    /// themselves.
    std::chrono::milliseconds reannounceGracePeriod { 2200 };
    /// @{ Retry budget of the whole fleet for a pool: a ratio of the pool's requests plus a fixed allowance, in each
    /// window.
    double retryRatio = 0.2;
    std::int64_t retryAllowance = 50;
    std::chrono::milliseconds retryWindow { 10'000 };
    /// @}
};

} // namespace kumquatbeam
