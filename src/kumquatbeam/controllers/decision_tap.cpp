#include "kumquatbeam/controllers/decision_tap.hpp"

#include <utility>

namespace kumquatbeam {

decision_tap::decision_tap(command_outlet& commands, decision_log& log, metrics_controller& metrics)
    : m_commands(commands)
    , m_log(log)
    , m_metrics(metrics)
{
}

void decision_tap::send(caller_command command)
{
    m_commands.send(std::move(command));
}

void decision_tap::send(endpoint_command command)
{
    if (const auto* attempt = std::get_if<start_attempt>(&command))
        m_metrics.observe(*attempt, m_now);
    m_commands.send(std::move(command));
}

void decision_tap::send(peer_command command)
{
    m_commands.send(std::move(command));
}

void decision_tap::send(operator_command command)
{
    m_commands.send(std::move(command));
}

void decision_tap::placed(const placement_record& record)
{
    m_log.placed(record);
}

void decision_tap::refused(const refusal_record& record)
{
    m_metrics.observe(record);
    m_log.refused(record);
}

void decision_tap::ended(const outcome_record& record)
{
    m_log.ended(record);
}

void decision_tap::changed(const change_record& record)
{
    m_log.changed(record);
}

void decision_tap::failed(std::string_view part, const failure& problem)
{
    m_metrics.observe(part, problem);
    m_log.failed(part, problem);
}

} // namespace kumquatbeam
