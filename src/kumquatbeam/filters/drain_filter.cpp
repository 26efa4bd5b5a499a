#include "kumquatbeam/filters/drain_filter.hpp"

#include "kumquatbeam/controllers/drain_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> drain_filter::apply(request_context& context, time_point now) const
{
    // A shutdown waits for orders in progress, and for the callers that wait for their replies.
    if (context.disposition == request_disposition::JoinOrder || !m_drain.refusesRequests(now))
        return std::nullopt;
    return notRun({ failure_kind::Draining });
}

} // namespace kumquatbeam
