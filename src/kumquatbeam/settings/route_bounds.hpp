#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace kumquatbeam {

/// Limit of the requests that a cold endpoint may get.
struct cold_bounds {
    double overshoot = 1;
    std::int64_t slack = 0;
};

/// Bounds that a router of routed calls must meet. The platform sets them in the settings of the process, and may
/// change them at run time: `routing_core` owns those in force, and its parts read them there when they need them.
struct route_bounds {
    /// Time after the revocation of an account key by which routers must have stopped accepting it.
    std::chrono::milliseconds keyRevocationLimit { 5000 };
    /// Time within which a change published by operators or endpoints must be in force.
    std::chrono::milliseconds changePropagationLimit { 2000 };
    /// Time after the notice of a shutdown for which requests in progress may go on.
    std::chrono::milliseconds drainLimit { 4500 };
    /// Time after an outage of the directory for which an endpoint is kept although its announcement expired during the
    /// outage.
    std::chrono::milliseconds reannounceGracePeriod { 2200 };
    /// Time after the end of an outage from which the directory's word must be in force again.
    std::chrono::milliseconds outageStabilityWindow { 3000 };
    /// @{ Retry budget of the whole fleet for a pool: a ratio of the pool's requests plus a fixed allowance, in each
    /// window.
    double retryRatio = 0.2;
    std::int64_t retryAllowance = 50;
    std::chrono::milliseconds retryWindow { 10'000 };
    /// @}
    /// Set if cold endpoints have a limit: in any second one takes `coldOvershoot` times the rate that it is made for,
    /// and `coldSlack` requests more, from all routers together.
    std::optional<cold_bounds> cold {};
};

} // namespace kumquatbeam
