#include "kumquatbeam/controllers/controller_loop.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

controller_loop::controller_loop(command_sink& commands, decision_log& log, hooks callbacks)
    : m_commands(commands)
    , m_log(log)
    , m_hooks(std::move(callbacks))
{
}

void controller_loop::append(controller& part)
{
    m_controllers.push_back(&part);
}

void controller_loop::handle(const decision_event& event, time_point now)
{
    decision_context context { now, m_commands, m_log, m_raised };
    beginIteration(context);
    dispatch(event, context);
    handleRaised(context);
}

time_point controller_loop::nextDeadline() const
{
    time_point earliest = never;
    for (const auto* part : m_controllers)
        earliest = std::min(earliest, part->nextDeadline());
    return earliest;
}

void controller_loop::onDeadline(time_point now)
{
    decision_context context { now, m_commands, m_log, m_raised };
    beginIteration(context);
    for (auto* part : m_controllers) {
        if (part->nextDeadline() <= now)
            part->onDeadline(context);
    }
    handleRaised(context);
}

void controller_loop::handleRaised(decision_context& context)
{
    while (!m_raised.empty()) {
        const auto event = std::move(m_raised.front());
        m_raised.pop_front();
        dispatch(event, context);
    }
}

void controller_loop::answerStatus(const status_requested& query, status_report report, decision_context& context) const
{
    for (const auto* part : m_controllers)
        part->describe(report);
    context.commands.send(operator_command { status_reply { query.query, std::move(report) } });
}

void controller_loop::beginIteration(decision_context& context)
{
    if (m_hooks.onIterationStart)
        m_hooks.onIterationStart(context);
}

void controller_loop::dispatch(const decision_event& event, decision_context& context)
{
    if (m_hooks.interceptEvent && !m_hooks.interceptEvent(event, context))
        return;
    for (auto* part : m_controllers)
        part->handle(event, context);
}

} // namespace kumquatbeam
