// The queries of the dispatch controller that filters ask.

#include "kumquatbeam/controllers/dispatch_controller.hpp"

namespace kumquatbeam {

std::optional<placement> dispatch_controller::choose(const request_context& request, time_point now) const
{
    const auto pool = m_pools.find(request.matched->pool);
    return pool == m_pools.end() ? std::nullopt : pool->second.choose(request, m_domain, {}, now);
}

std::optional<time_point> dispatch_controller::quietUntil(const pool_id& id, time_point now) const
{
    const auto pool = m_pools.find(id);
    return pool == m_pools.end() ? std::nullopt : pool->second.quietUntil(now);
}

bool dispatch_controller::hasUsableEndpoint(const pool_id& id, time_point now) const
{
    const auto pool = m_pools.find(id);
    return pool != m_pools.end() && pool->second.hasUsableEndpoint(now);
}

std::chrono::milliseconds dispatch_controller::longestLately(const route_id& route, time_point now) const
{
    const auto found = m_durations.find(route);
    return found == m_durations.end() ? std::chrono::milliseconds(0) : found->second.value(now);
}

} // namespace kumquatbeam
