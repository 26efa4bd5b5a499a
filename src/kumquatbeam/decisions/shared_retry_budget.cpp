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
    while (!m_buckets.empty() && m_buckets.front().endsAt + m_limits.window <= now)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().endsAt <= now) {
        // Buckets that began with their first count would together cover more than a window and a bucket.
        const auto length = std::chrono::duration_cast<clock::duration>(m_limits.window) / bucketsPerWindow;
        m_buckets.push_back({ .endsAt = time_point { (now.time_since_epoch() / length + 1) * length } });
    }
    return m_buckets.back();
}

} // namespace kumquatbeam
