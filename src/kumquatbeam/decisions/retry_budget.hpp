#pragma once

#include <cstdint>

namespace kumquatbeam {

/// A token bucket that limits the retries of a pool to a fraction of its answered calls, plus a burst.
class retry_budget {
public:
    /// Retries allowed without an answered call in between, for example after an endpoint has crashed.
    static constexpr std::int64_t burst = 32;

    /// Answered calls that earn one retry.
    static constexpr std::int64_t answersPerRetry = 10;

    /// Adds the credit of one answered call.
    void deposit();

    /// Withdraws one retry; returns false when the budget is exhausted.
    bool tryWithdraw();

private:
    std::int64_t m_credit = burst * answersPerRetry;
};

} // namespace kumquatbeam
