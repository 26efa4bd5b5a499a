#pragma once

#include "kumquatbeam/types/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// One router's part of a budget of repeats that the whole fleet shares for a pool. In every window, the fleet may
/// repeat a part of the window's requests and an allowance beside it. A router spends against its own requests, and
/// against its part of the allowance.
class shared_retry_budget {
public:
    /// What the fleet may repeat.
    struct limits {
        double ratio = 0.2;
        std::int64_t allowance = 0;
        std::chrono::milliseconds window { 10'000 };
    };

    explicit shared_retry_budget(limits);

    /// A caller's request for the pool has come.
    void recordRequest(time_point now);

    /// Pays for one repeat, or returns false when this router's part is spent. `routers` is the number of routers that
    /// may be spending.
    bool tryWithdraw(std::int64_t routers, time_point now);

private:
    /// Parts of a window that are counted on their own. The budget holds for every window that begins with a part; one
    /// that begins within a part sees at most one part more, which is counted with it.
    static constexpr std::size_t bucketsPerWindow = 20;

    struct bucket {
        std::int64_t number = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    bucket& bucketAt(time_point now);

    limits m_limits;
    std::array<bucket, bucketsPerWindow + 1> m_buckets;
};

} // namespace kumquatbeam
