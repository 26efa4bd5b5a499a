#pragma once

#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <cstdint>
#include <deque>

namespace kumquatbeam {

/// One router's part of a retry budget that the whole fleet shares for a pool. In every window, the fleet may retry a
/// fraction of the window's requests plus a fixed allowance. A router spends the fraction of its own requests and its
/// part of the allowance.
class shared_retry_budget {
public:
    /// Limits of the retries of the whole fleet.
    struct limits {
        double ratio = 0.2;
        std::int64_t allowance = 0;
        std::chrono::milliseconds window { 10'000 };
    };

    explicit shared_retry_budget(limits);

    /// Changes the limits. What was requested and spent within the new window, as far as the one before reaches,
    /// counts.
    void setLimits(const limits& budget) { m_limits = budget; }

    /// Records a caller's request for the pool.
    void recordRequest(time_point now);

    /// Withdraws one retry; returns false when this router's part is exhausted. The allowance is divided by `routers`,
    /// the number of routers that may be spending.
    bool tryWithdraw(std::int64_t routers, time_point now);

private:
    static constexpr int bucketsPerWindow = 20;

    /// Counts of a part of the window. It counts until its end has left the window, so that the budget holds for every
    /// window.
    struct bucket {
        time_point endsAt;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    bucket& bucketAt(time_point now);

    limits m_limits;
    /// The oldest first.
    std::deque<bucket> m_buckets;
};

} // namespace kumquatbeam
