// The part of the dispatch controller that learns the speeds of endpoints.

#include "kumquatbeam/controllers/dispatch_controller.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace kumquatbeam {

time_point dispatch_controller::nextDeadline() const
{
    auto earliest = m_nextWarmAt;
    for (const auto& [id, pool] : m_pools)
        earliest = std::min(earliest, pool.nextSpeedUpdate());
    return earliest;
}

void dispatch_controller::onDeadline(decision_context& context)
{
    if (m_nextWarmAt <= context.now)
        logColdChanges(context);
    for (auto& [id, pool] : m_pools) {
        if (pool.nextSpeedUpdate() > context.now)
            continue;
        for (const auto& change : pool.updateSpeeds(context.now))
            context.log.changed({ name(), "speed",
                change.endpoint.value + " tokens-per-ms=" + std::to_string(std::lround(change.now))
                    + " before=" + std::to_string(std::lround(change.before)) });
    }
}

void dispatch_controller::recordFirstByte(const answer_begun& begun, time_point now)
{
    const auto found = m_running.find(begun.id);
    if (found == m_running.end() || found->second.firstByteAt)
        return;
    auto& call = found->second;
    call.firstByteAt = now;
    const auto prefilled = std::exchange(call.prefillTokens, token_count {});
    auto* pool = poolOf(call.context);
    if (!pool)
        return;
    pool->recordPrefilled(call.endpoint, call.incarnation, prefilled);
    // The time of a retry includes what the engine did for the earlier attempt.
    if (call.history.attempts == 1) {
        const auto slowdown = begun.load ? begun.load->slowdown.value_or(1) : 1;
        pool->recordSpeed(
            call.endpoint, call.incarnation, { call.outstandingTokens, now - call.placedAt, slowdown }, now);
    }
    if (begun.load)
        pool->recordLoad(*begun.load, call.incarnation, now);
}

} // namespace kumquatbeam
