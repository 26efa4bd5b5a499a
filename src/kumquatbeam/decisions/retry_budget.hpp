#pragma once

#include <cstdint>

namespace kumquatbeam {

/// A token bucket that bounds the retries of a pool to a fraction of its answered calls, beside a burst.
class retry_budget {
public:
    /// Retries that may follow each other without an answered call, such as those after the death of one endpoint.
    static constexpr std::int64_t burst = 32;

    /// Answered calls that pay for one retry.
    static constexpr std::int64_t answersPerRetry = 10;

    /// An answered call pays its part of a retry.
    void deposit();

    /// Pays for one retry, or returns false when the budget is spent.
    bool tryWithdraw();

private:
    std::int64_t m_credit = burst * answersPerRetry;
};

} // namespace kumquatbeam
