#include "kumquatbeam/decisions/placement/cold_endpoints.hpp"

#include <algorithm>

namespace kumquatbeam {

std::optional<double> coldLimitOf(const routed_pool& pool, const route_bounds& bounds)
{
    if (!pool.coldStart || !bounds.cold)
        return std::nullopt;
    const bool isComplete = pool.coldStart->duration.count() > 0 && pool.coldStart->requestsPerSecond > 0
        && bounds.cold->overshoot > 0 && bounds.cold->slack > 0;
    if (!isComplete)
        return std::nullopt;
    return pool.coldStart->requestsPerSecond * bounds.cold->overshoot + static_cast<double>(bounds.cold->slack);
}

time_point cold_endpoints::coldUntil(const announced_endpoint& announced, time_point evacuationEndedAt) const
{
    auto until = announced.coldUntil;
    if (evacuationEndedAt != time_point::min())
        until = std::max(until, evacuationEndedAt + m_startDuration);
    const auto observed = m_observations.find(announced.id);
    if (observed == m_observations.end() || observed->second.incarnation != announced.incarnation)
        return until;
    return observed->second.failedAt ? never : std::max(until, observed->second.reportedUntil);
}

void cold_endpoints::recordReport(const endpoint_id& endpoint, std::int64_t incarnation, time_point until)
{
    auto& observed = observationOf(endpoint, incarnation);
    observed.reportedUntil = std::max(observed.reportedUntil, until);
}

void cold_endpoints::recordFailure(const endpoint_id& endpoint, std::int64_t incarnation, time_point now)
{
    observationOf(endpoint, incarnation).failedAt = now;
}

void cold_endpoints::applyRead(const endpoint_directory& directory, time_point readStartedAt)
{
    for (auto& [id, observed] : m_observations) {
        if (directory.endpoints.contains(id) && observed.failedAt && *observed.failedAt < readStartedAt)
            observed.failedAt.reset();
    }
    std::erase_if(m_observations, [&](const auto& entry) {
        const auto& [id, observed] = entry;
        const auto shown = directory.endpoints.find(id);
        if (shown == directory.endpoints.end())
            return !observed.failedAt || *observed.failedAt + failureRetention < readStartedAt;
        return !observed.failedAt && shown->second.incarnation != observed.incarnation;
    });
}

cold_endpoints::observation& cold_endpoints::observationOf(const endpoint_id& endpoint, std::int64_t incarnation)
{
    auto& observed = m_observations[endpoint];
    if (observed.incarnation != incarnation)
        observed = { .incarnation = incarnation };
    return observed;
}

} // namespace kumquatbeam
