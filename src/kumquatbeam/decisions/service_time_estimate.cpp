#include "kumquatbeam/decisions/service_time_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace kumquatbeam {

namespace {

    /// Weight of a new observation in the moving averages.
    constexpr double smoothingWeight = 0.125;
    constexpr double deviationFactor = 2;

    /// Maximum estimated wait in a queue.
    constexpr std::chrono::seconds maximumWait { 600 };

    void smooth(double& value, double newest)
    {
        value += (newest - value) * smoothingWeight;
    }

} // namespace

void service_time_estimate::record(service_cost cost, time_point now)
{
    const auto newest = static_cast<double>(cost.value);
    if (now >= m_validUntil) {
        m_mean = newest;
        m_deviation = newest;
    } else {
        smooth(m_deviation, std::abs(newest - m_mean));
        smooth(m_mean, newest);
    }
    m_validUntil = now + validity;
}

std::chrono::microseconds service_time_estimate::lowerBound(time_point now) const
{
    if (now >= m_validUntil)
        return std::chrono::microseconds(0);
    return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, m_mean - deviationFactor * m_deviation)));
}

void queue_wait_estimate::recordStart(std::int64_t waiting, time_point now)
{
    if (m_wasBacklogged) {
        const auto interval = std::chrono::duration_cast<std::chrono::microseconds>(now - m_startedAt);
        smooth(m_interval, static_cast<double>(interval.count()));
    }
    m_startedAt = now;
    m_wasBacklogged = waiting > 0;
}

time_point queue_wait_estimate::expectedStart(std::int64_t waiting, time_point now) const
{
    const std::chrono::duration<double, std::micro> wait(m_interval * static_cast<double>(waiting));
    return now
        + std::min(std::chrono::duration_cast<std::chrono::microseconds>(wait), std::chrono::microseconds(maximumWait));
}

} // namespace kumquatbeam
