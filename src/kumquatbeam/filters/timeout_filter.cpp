#include "kumquatbeam/filters/timeout_filter.hpp"

#include "kumquatbeam/settings/route_table.hpp"

#include <algorithm>

namespace kumquatbeam {

std::optional<call_reply> timeout_filter::apply(request_context& context, time_point now) const
{
    context.deadline = now + context.matched->route->timeout;
    if (context.call->deadline)
        context.deadline = std::min(context.deadline, *context.call->deadline);
    if (context.startLimit() <= now)
        return notRun({ failure_kind::DeadlinePassed });
    return std::nullopt;
}

} // namespace kumquatbeam
