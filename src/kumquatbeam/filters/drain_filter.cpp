#include "kumquatbeam/filters/drain_filter.hpp"

#include "kumquatbeam/controllers/drain_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> drain_filter::apply(request_context& context, time_point now) const
{
    // An order in progress is part of what a shutdown waits for, and so are the callers that ask for its reply.
    if (context.disposition == request_disposition::JoinOrder || !m_drain.refusesRequests(now))
        return std::nullopt;
    return notRun({ failure_kind::Draining });
}

} // namespace kumquatbeam
