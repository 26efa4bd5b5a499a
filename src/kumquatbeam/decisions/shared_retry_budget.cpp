#include "kumquatbeam/decisions/shared_retry_budget.hpp"

#include <algorithm>

namespace kumquatbeam {

shared_retry_budget::shared_retry_budget(limits budget)
    : m_limits(budget)
{
}

void shared_retry_budget::recordRequest(time_point now)
{
    ++bucketAt(now).requests;
}

bool shared_retry_budget::tryWithdraw(std::int64_t routers, time_point now)
{
    auto& current = bucketAt(now);
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const auto& counted : m_buckets) {
        if (counted.number < 0 || counted.number + static_cast<std::int64_t>(m_buckets.size()) <= current.number)
            continue;
        requests += counted.requests;
        retries += counted.retries;
    }
    const auto earned = m_limits.ratio * static_cast<double>(requests);
    const auto allowance
        = static_cast<double>(m_limits.allowance) / static_cast<double>(std::max<std::int64_t>(routers, 1));
    if (static_cast<double>(retries + 1) > earned + allowance)
        return false;
    ++current.retries;
    return true;
}

shared_retry_budget::bucket& shared_retry_budget::bucketAt(time_point now)
{
    const auto length = std::chrono::duration_cast<clock::duration>(m_limits.window) / bucketsPerWindow;
    const auto number = static_cast<std::int64_t>(now.time_since_epoch() / length);
    auto& found = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    if (found.number != number)
        found = { .number = number };
    return found;
}

} // namespace kumquatbeam
