#include "kumquatbeam/decisions/shared_retry_budget.hpp"

#include <algorithm>

namespace kumquatbeam {

shared_retry_budget::shared_retry_budget(limits budget)
    : m_limits(budget)
{
}

void shared_retry_budget::recordRequest(time_point now)
{
    ++partAt(now).requests;
}

bool shared_retry_budget::tryWithdraw(std::int64_t routers, time_point now)
{
    auto& current = partAt(now);
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
    for (const auto& counted : m_parts) {
        if (counted.number < 0 || counted.number + static_cast<std::int64_t>(m_parts.size()) <= current.number)
            continue;
        requests += counted.requests;
        repeats += counted.repeats;
    }
    const auto own = m_limits.ratio * static_cast<double>(requests);
    const auto allowance
        = static_cast<double>(m_limits.allowance) / static_cast<double>(std::max<std::int64_t>(routers, 1));
    if (static_cast<double>(repeats + 1) > own + allowance)
        return false;
    ++current.repeats;
    return true;
}

shared_retry_budget::part& shared_retry_budget::partAt(time_point now)
{
    const auto length = std::chrono::duration_cast<clock::duration>(m_limits.window) / partsOfWindow;
    const auto number = static_cast<std::int64_t>(now.time_since_epoch() / length);
    auto& found = m_parts[static_cast<std::size_t>(number) % m_parts.size()];
    if (found.number != number)
        found = { .number = number };
    return found;
}

} // namespace kumquatbeam
