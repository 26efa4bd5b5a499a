#include "kumquatbeam/filters/drain_filter.hpp"

#include "kumquatbeam/controllers/drain_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> drain_filter::apply(request_context&, time_point now) const
{
    if (!m_drain.refusesRequests(now))
        return std::nullopt;
    return notRun({ failure_kind::Draining });
}

} // namespace kumquatbeam
