#include "kumquatbeam/decisions/endpoint_health.hpp"

#include <algorithm>

namespace kumquatbeam {

void endpoint_health::setEndpoints(const std::set<endpoint_id>& endpoints)
{
    std::erase_if(m_records, [&](const auto& entry) { return !endpoints.contains(entry.first); });
    for (const auto& endpoint : endpoints)
        m_records.try_emplace(endpoint);
}

void endpoint_health::recordAnswer(const endpoint_id& endpoint, time_point now)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return;
    auto& row = found->second;
    row.failedCalls = 0;
    if (row.is == ejection_state::Ejected && now >= row.ejectedUntil) {
        row.is = ejection_state::Healthy;
        row.probationEndsAt = now + probationPeriod;
    }
    if (now >= row.probationEndsAt) {
        row.nextEjectionDuration = firstEjectionDuration;
        row.probationEndsAt = never;
    }
}

void endpoint_health::recordFailure(const endpoint_id& endpoint, time_point now)
{
    countFailures(endpoint, 1, now);
}

void endpoint_health::recordUnreachable(const endpoint_id& endpoint, time_point now)
{
    countFailures(endpoint, unreachableFailureWeight, now);
}

void endpoint_health::countFailures(const endpoint_id& endpoint, int failures, time_point now)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return;
    auto& row = found->second;
    row.failedCalls += failures;
    const bool isTrial = row.is == ejection_state::Ejected && now >= row.ejectedUntil;
    if (isTrial || row.failedCalls >= failuresToEject)
        eject(row, now);
}

void endpoint_health::recordProbe(const endpoint_id& endpoint, bool isAnswered, time_point now)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return;
    auto& row = found->second;
    row.failedProbes = isAnswered ? 0 : row.failedProbes + 1;
    if (row.failedProbes >= failuresToEject)
        eject(row, now);
}

bool endpoint_health::admits(const endpoint_id& endpoint, bool hasRunning, time_point now) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end() || found->second.is == ejection_state::Healthy)
        return true;
    return now >= found->second.ejectedUntil && !hasRunning;
}

bool endpoint_health::isEjected(const endpoint_id& endpoint) const
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() && found->second.is == ejection_state::Ejected;
}

time_point endpoint_health::nextEjectionEnd(time_point now) const
{
    time_point earliest = never;
    for (const auto& [id, row] : m_records) {
        if (row.is == ejection_state::Ejected && row.ejectedUntil > now)
            earliest = std::min(earliest, row.ejectedUntil);
    }
    return earliest;
}

void endpoint_health::eject(record& row, time_point now)
{
    // Calls that were in flight when the endpoint was ejected may still fail; they do not extend the ejection.
    const bool isEjectionRunning = row.is == ejection_state::Ejected && now < row.ejectedUntil;
    if (isEjectionRunning || (row.is == ejection_state::Healthy && !mayEjectOneMore()))
        return;
    row.is = ejection_state::Ejected;
    row.ejectedUntil = now + row.nextEjectionDuration;
    row.nextEjectionDuration = std::min(row.nextEjectionDuration * 2, maximumEjectionDuration);
    row.failedCalls = 0;
    row.failedProbes = 0;
}

bool endpoint_health::mayEjectOneMore() const
{
    const auto ejected = std::count_if(m_records.begin(), m_records.end(),
        [](const auto& entry) { return entry.second.is == ejection_state::Ejected; });
    return (static_cast<std::size_t>(ejected) + 1) * endpointsPerEjection <= m_records.size();
}

} // namespace kumquatbeam
