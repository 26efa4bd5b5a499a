#include "kumquatbeam/filters/route_filter.hpp"

#include "kumquatbeam/controllers/route_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> route_filter::apply(request_context& context, time_point) const
{
    const auto& table = m_routes.current();
    if (!table)
        return notRun({ failure_kind::NotReady });
    const auto& call = *context.call;
    const auto* route = table->routeFor(call.authority, call.target);
    if (!route)
        return notRun({ failure_kind::UnknownRoute, call.authority, call.target });
    context.matched = matched_route { table, route, route->poolFor(call.callerRequestId) };
    context.isRepeatable = mayRunAgain(route->kind);
    return std::nullopt;
}

} // namespace kumquatbeam
