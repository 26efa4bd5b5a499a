#include "kumquatbeam/controllers/drain_controller.hpp"

#include <algorithm>

namespace kumquatbeam {

drain_controller::drain_controller(const router_settings& settings)
    : m_settings(settings)
{
}

void drain_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const shutdown_requested&) {
            if (isDraining())
                return;
            m_refuseAt = context.now + m_settings.drainNotice;
            m_endBy = m_refuseAt + m_settings.drainLimit;
            context.commands.send(caller_command { set_ready { false } });
            context.log.changed({ name(), "started", "" });
        },
        [&](const request_admitted&) { ++m_inProgress; },
        [&](const request_ended&) {
            --m_inProgress;
            finishWhenIdle(context);
        },
    };
    std::visit(handlers, event);
}

time_point drain_controller::nextDeadline() const
{
    if (m_hasFinished)
        return never;
    return m_hasStoppedAccepting ? m_endBy : m_refuseAt;
}

void drain_controller::onDeadline(decision_context& context)
{
    if (context.now >= m_refuseAt && !m_hasStoppedAccepting) {
        m_hasStoppedAccepting = true;
        context.commands.send(caller_command { stop_accepting {} });
    }
    finishWhenIdle(context);
}

void drain_controller::describe(status_report& report) const
{
    report.isDraining = isDraining();
}

void drain_controller::finishWhenIdle(decision_context& context)
{
    if (m_hasFinished || !m_hasStoppedAccepting)
        return;
    if (m_inProgress > 0 && context.now < m_endBy)
        return;
    m_hasFinished = true;
    context.log.changed({ name(), "finished", std::to_string(m_inProgress) });
    context.commands.send(operator_command { finish_process {} });
}

} // namespace kumquatbeam
