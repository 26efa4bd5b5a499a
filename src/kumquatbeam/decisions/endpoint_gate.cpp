#include "kumquatbeam/decisions/endpoint_gate.hpp"

#include <set>

namespace kumquatbeam {

void endpoint_gate::setEndpoints(const pool_view& view)
{
    std::set<endpoint_id> endpoints;
    for (const auto& row : view.endpoints) {
        endpoints.insert(row.endpoint);
        m_limits[row.endpoint].setCeiling(row.slots);
    }
    std::erase_if(m_limits, [&](const auto& entry) { return !endpoints.contains(entry.first); });
    m_health.setEndpoints(endpoints);
}

void endpoint_gate::recordProbe(const endpoint_capacity& endpoint, std::optional<std::int64_t> waiting, time_point now)
{
    m_health.recordProbe(endpoint.endpoint, waiting.has_value(), now);
    if (waiting)
        m_limits[endpoint.endpoint].observe(*waiting, endpoint.running);
}

bool endpoint_gate::admits(const endpoint_capacity& endpoint, time_point now) const
{
    const auto limit = m_limits.find(endpoint.endpoint);
    if (limit != m_limits.end() && endpoint.running >= limit->second.limit())
        return false;
    return m_health.admits(endpoint.endpoint, endpoint.running.value > 0, now);
}

} // namespace kumquatbeam
