#pragma once

#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <cmath>

namespace kumquatbeam {

/// A rate over the recent past with exponential decay.
class decayed_rate {
public:
    /// Time constant of the decay: an amount keeps about a third (1/e) of its weight after it. Long enough to smooth
    /// single requests, short compared to the seconds over which differences in shares are evened out.
    static constexpr std::chrono::milliseconds timeConstant { 1000 };

    void add(double amount, time_point now)
    {
        m_sum = sumAt(now) + amount;
        m_updatedAt = now;
    }

    /// Amount per second.
    double perSecond(time_point now) const { return sumAt(now) / std::chrono::duration<double>(timeConstant).count(); }

private:
    double sumAt(time_point now) const
    {
        if (m_sum == 0 || now <= m_updatedAt)
            return m_sum;
        return m_sum
            * std::exp(-std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(timeConstant));
    }

    double m_sum = 0;
    time_point m_updatedAt {};
};

} // namespace kumquatbeam
