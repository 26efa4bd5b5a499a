#include "kumquatbeam/controllers/decision_core.hpp"

#include "kumquatbeam/filters/account_filter.hpp"
#include "kumquatbeam/filters/deadline_filter.hpp"
#include "kumquatbeam/filters/drain_filter.hpp"
#include "kumquatbeam/filters/order_ticket_filter.hpp"
#include "kumquatbeam/filters/pool_filter.hpp"
#include "kumquatbeam/filters/queue_limit_filter.hpp"

#include <utility>

namespace kumquatbeam {

decision_core::decision_core(
    router_settings settings, incarnation_id incarnation, command_sink& commands, decision_log& log)
    : m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_metrics(m_configuration)
    , m_membership(m_settings, m_configuration)
    , m_orders(m_settings.self, incarnation, m_configuration, m_internalIds)
    , m_placement(m_settings, m_configuration, m_membership)
    , m_drain(m_settings, m_settings.drainLimit)
    , m_meteringSink(commands, log, m_metrics)
    , m_loop(m_meteringSink, m_meteringSink,
          { [this](decision_context& context) { checkForPause(context); },
              [this](
                  const decision_event& event, decision_context& context) { return interceptEvent(event, context); } })
{
    m_loop.append(m_configuration);
    m_loop.append(m_metrics);
    m_loop.append(m_membership);
    m_loop.append(m_orders);
    m_loop.append(m_placement);
    m_loop.append(m_reply);
    m_loop.append(m_drain);

    m_chain.append(std::make_unique<account_filter>(m_configuration));
    m_chain.append(std::make_unique<pool_filter>(m_configuration));
    m_chain.append(std::make_unique<order_ticket_filter>(m_orders, m_membership));
    m_chain.append(std::make_unique<drain_filter>(m_drain));
    m_chain.append(std::make_unique<deadline_filter>(m_configuration));
    m_chain.append(std::make_unique<queue_limit_filter>(m_placement));
}

void decision_core::handle(const decision_event& event, time_point now)
{
    m_meteringSink.setTime(now);
    m_loop.handle(event, now);
}

void decision_core::onDeadline(time_point now)
{
    m_meteringSink.setTime(now);
    m_loop.onDeadline(now);
}

void decision_core::checkForPause(decision_context& context)
{
    if (!m_pauseDetector.recordIteration(context.now))
        return;
    m_membership.resetPeerStates(context);
    m_loop.handleRaised(context);
}

bool decision_core::interceptEvent(const decision_event& event, decision_context& context)
{
    // Messages received before the connection was lost, or before a pause, may be stale.
    const auto* received = std::get_if<peer_received>(&event);
    if (received && !m_membership.connectedPeers().contains(received->from))
        return false;
    const event_handlers handlers {
        [&](const request_arrived& arrived) { filterRequest({ .id = arrived.id, .call = arrived.call }, context); },
        [&](const peer_received& message) { filterForwardedOrder(message, context); },
        [&](const status_requested& query) {
            m_loop.answerStatus(
                query, { .self = m_settings.self, .domain = m_settings.domain, .incarnation = m_incarnation }, context);
        },
    };
    std::visit(handlers, event);
    return true;
}

void decision_core::filterForwardedOrder(const peer_received& received, decision_context& context)
{
    const auto* forwarded = std::get_if<order_forward>(&received.message);
    if (!forwarded)
        return;
    filterRequest({ .id = m_internalIds.next(),
                      .call = std::make_shared<const call_request>(forwarded->call),
                      .forwardedBy = forward_origin { received.from, forwarded->id } },
        context);
}

void decision_core::filterRequest(request_context request, decision_context& context)
{
    auto verdict = m_chain.apply(request, context.now);
    if (!verdict) {
        context.raised.emplace_back(request_admitted { std::move(request) });
        return;
    }
    auto& reply = verdict->reply;
    m_metrics.observe(reply);
    m_orders.reconcileRefusal(request, reply, context.now);
    if (reply.problem)
        context.log.refused({ .request = request.id,
            .account = request.account,
            .pool = request.call->pool,
            .decidedBy = verdict->filter,
            .problem = *reply.problem });
    reply_controller::deliver(request, std::move(reply), context);
}

} // namespace kumquatbeam
