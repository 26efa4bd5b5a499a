#include "kumquatbeam/controllers/drain_controller.hpp"

#include "kumquatbeam/filters/request_filter.hpp"

#include <utility>

namespace kumquatbeam {

drain_controller::drain_controller(const router_settings& settings, const std::chrono::milliseconds& drainLimit)
    : m_settings(settings)
    , m_drainLimit(drainLimit)
{
}

void drain_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const shutdown_requested&) {
            if (isDraining()) {
                context.log.changed({ name(), "repeated", "" });
                return;
            }
            m_refuseAt = context.now + m_settings.drainNotice;
            m_endBy = m_refuseAt + m_drainLimit;
            m_exitBy = m_endBy + replyAllowance;
            context.commands.send(caller_command { begin_drain {} });
            context.log.changed({ name(), "started", "" });
        },
        [&](const settings_reloaded&) { bringEndForward(context); },
        [&](const request_admitted&) { ++m_inProgress; },
        [&](const request_ended&) {
            --m_inProgress;
            closeCallersWhenIdle(context);
        },
        [&](const caller_connections_closed&) { context.commands.send(peer_command { close_peer_connections {} }); },
        [&](const peer_connections_closed&) { finish(context); },
    };
    std::visit(handlers, event);
}

time_point drain_controller::nextDeadline() const
{
    if (m_hasFinished)
        return never;
    if (!m_hasStoppedAccepting)
        return m_refuseAt;
    return m_hasEndedRequests ? m_exitBy : m_endBy;
}

void drain_controller::onDeadline(decision_context& context)
{
    if (context.now >= m_refuseAt && !m_hasStoppedAccepting) {
        m_hasStoppedAccepting = true;
        context.commands.send(caller_command { stop_accepting {} });
    }
    closeCallersWhenIdle(context);
    if (context.now >= m_endBy && !std::exchange(m_hasEndedRequests, true)) {
        context.log.changed({ name(), "ended-requests", std::to_string(m_inProgress) });
        context.commands.send(caller_command { end_requests { unknownOutcome({ failure_kind::Draining }) } });
    }
    if (context.now >= m_exitBy)
        finish(context);
}

void drain_controller::describe(status_report& report) const
{
    report.isDraining = isDraining();
    report.isReady = report.isReady && !isDraining();
}

void drain_controller::bringEndForward(decision_context& context)
{
    if (!isDraining() || m_hasEndedRequests)
        return;
    const auto endBy = m_refuseAt + m_drainLimit;
    if (endBy >= m_endBy)
        return;
    m_endBy = endBy;
    m_exitBy = endBy + replyAllowance;
    context.log.changed({ name(), "shortened", "" });
}

void drain_controller::closeCallersWhenIdle(decision_context& context)
{
    if (m_isClosingCallers || !m_hasStoppedAccepting || m_inProgress > 0)
        return;
    m_isClosingCallers = true;
    context.commands.send(caller_command { close_caller_connections {} });
}

void drain_controller::finish(decision_context& context)
{
    if (std::exchange(m_hasFinished, true))
        return;
    context.log.changed({ name(), "finished", std::to_string(m_inProgress) });
    context.commands.send(operator_command { finish_process {} });
}

} // namespace kumquatbeam
