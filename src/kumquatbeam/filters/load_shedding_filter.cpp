#include "kumquatbeam/filters/load_shedding_filter.hpp"

#include "kumquatbeam/controllers/dispatch_controller.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    /// @{ Shortest retry delay of a refused caller, and the jitter that keeps callers from retrying at the same time.
    constexpr std::chrono::milliseconds shortestDelay { 300 };
    constexpr std::chrono::milliseconds delayJitter { 700 };
    /// @}

    time_point retryTimeOf(const request_context& context, time_point now)
    {
        const auto jitter = static_cast<std::uint64_t>(delayJitter.count());
        const auto delay
            = shortestDelay + std::chrono::milliseconds(wireKeyOf(context.call->callerRequestId).value % jitter);
        // Callers give up on longer delays.
        const auto longest = std::chrono::duration_cast<clock::duration>(
            (context.earliestDeadline() - now) * dispatch_pool::retryDelayFraction);
        return now + std::min<clock::duration>(delay, longest);
    }

} // namespace

std::optional<call_reply> load_shedding_filter::apply(request_context& context, time_point now) const
{
    context.chosenPlacement = m_dispatch.choose(context, now);
    if (context.chosenPlacement)
        return std::nullopt;
    const auto& pool = context.matched->pool;
    const auto kind = m_dispatch.hasUsableEndpoint(pool, now) ? failure_kind::PoolBusy : failure_kind::NoEndpoint;
    auto reply = notRun({ kind, pool.value });
    const auto quietUntil = m_dispatch.quietUntil(pool, now);
    reply.retryAt = quietUntil ? *quietUntil : retryTimeOf(context, now);
    return reply;
}

} // namespace kumquatbeam
