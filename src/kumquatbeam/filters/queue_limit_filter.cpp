#include "kumquatbeam/filters/queue_limit_filter.hpp"

#include "kumquatbeam/controllers/placement_controller.hpp"

#include <algorithm>

namespace kumquatbeam {

std::optional<call_reply> queue_limit_filter::apply(request_context& context, time_point now) const
{
    const auto& call = *context.call;
    const bool isQueued
        = context.disposition == request_disposition::Queue || context.disposition == request_disposition::PlaceOrder;
    if (!isQueued)
        return std::nullopt;
    const auto startAt = m_placement.expectedStart(context.account, call.pool, call.urgencyClass, now);
    const bool isInTime = startAt == now || m_placement.canMeetDeadline(context.deadline, call.pool, startAt, now);
    if (isInTime && m_placement.isBelowQueueLimit(context.account, call.pool))
        return std::nullopt;
    auto reply = notRun({ failure_kind::QueueFull, context.account.value });
    reply.retryAt = std::clamp(startAt, now + shortestRetryDelay, now + longestRetryDelay);
    return reply;
}

} // namespace kumquatbeam
