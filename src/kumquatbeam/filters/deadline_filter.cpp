#include "kumquatbeam/filters/deadline_filter.hpp"

#include "kumquatbeam/controllers/configuration_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> deadline_filter::apply(request_context& context, time_point now) const
{
    const auto& pool = m_configuration.current()->pools.at(context.call->pool);
    context.deadline = context.call->deadline.value_or(now + pool.timeout);
    if (context.startLimit() <= now)
        return notRun({ failure_kind::DeadlinePassed });
    return std::nullopt;
}

} // namespace kumquatbeam
