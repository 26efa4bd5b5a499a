#include "kumquatbeam/filters/shutdown_time_filter.hpp"

#include "kumquatbeam/controllers/dispatch_controller.hpp"
#include "kumquatbeam/controllers/drain_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> shutdown_time_filter::apply(request_context& context, time_point now) const
{
    if (!m_drain.isDraining()
        || now + m_dispatch.longestLately(context.matched->route->id, now) <= m_drain.endsRequestsAt())
        return std::nullopt;
    return notRun({ failure_kind::Draining });
}

} // namespace kumquatbeam
