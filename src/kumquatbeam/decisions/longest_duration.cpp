#include "kumquatbeam/decisions/longest_duration.hpp"

#include <algorithm>

namespace kumquatbeam {

void longest_duration::record(std::chrono::milliseconds duration, time_point now)
{
    if (now >= m_currentEndsAt) {
        m_previous = now < m_currentEndsAt + window ? m_current : std::chrono::milliseconds(0);
        m_current = std::chrono::milliseconds(0);
        m_currentEndsAt = now + window;
    }
    m_current = std::max(m_current, duration);
}

std::chrono::milliseconds longest_duration::value(time_point now) const
{
    if (now >= m_currentEndsAt + window)
        return std::chrono::milliseconds(0);
    return now >= m_currentEndsAt ? m_current : std::max(m_current, m_previous);
}

} // namespace kumquatbeam
