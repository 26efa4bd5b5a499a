#include "kumquatbeam/decisions/placement/reading_pace.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatbeam {

void reading_pace::record(token_count believed, std::chrono::milliseconds elapsed, time_point now)
{
    rememberShortest(elapsed, now);
    const auto fade = std::exp(-std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(memory));
    m_at = now;
    m_tokens = m_tokens * fade + static_cast<double>(believed.value);
    m_time = m_time * fade + static_cast<double>((elapsed - std::min(m_shortest, m_shortestBefore)).count());
}

double reading_pace::rate() const
{
    const auto tokens = m_tokens + assumedWeight;
    const auto time = m_time + assumedWeight / assumedRate;
    return std::clamp(tokens / time, slowestRate, fastestRate);
}

void reading_pace::rememberShortest(std::chrono::milliseconds elapsed, time_point now)
{
    if (now >= m_nextSpan) {
        m_nextSpan = now + shortestMemory;
        m_shortestBefore = m_shortest;
        m_shortest = std::chrono::milliseconds::max();
    }
    m_shortest = std::min(m_shortest, elapsed);
}

} // namespace kumquatbeam
