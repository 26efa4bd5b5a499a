#include "kumquatbeam/filters/queue_limit_filter.hpp"

#include "kumquatbeam/controllers/placement_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> queue_limit_filter::apply(request_context& context, time_point now) const
{
    const bool isQueued = context.route == request_route::Queue || context.route == request_route::Place;
    if (!isQueued || m_placement.hasRoomFor(context.account, context.call->pool))
        return std::nullopt;
    auto reply = notRun({ failure_kind::QueueFull, context.account.value });
    reply.retryAt = now + queueFullRetryDelay;
    return reply;
}

} // namespace kumquatbeam
