#include "kumquatbeam/controllers/metering_sink.hpp"

#include <utility>

namespace kumquatbeam {

metering_sink::metering_sink(command_sink& commands, decision_log& log, metrics_controller& metrics)
    : m_commands(commands)
    , m_log(log)
    , m_metrics(metrics)
{
}

void metering_sink::send(caller_command command)
{
    m_commands.send(std::move(command));
}

void metering_sink::send(endpoint_command command)
{
    if (const auto* attempt = std::get_if<start_attempt>(&command))
        m_metrics.observe(*attempt, m_now);
    m_commands.send(std::move(command));
}

void metering_sink::send(peer_command command)
{
    m_commands.send(std::move(command));
}

void metering_sink::send(operator_command command)
{
    m_commands.send(std::move(command));
}

void metering_sink::placed(const placement_record& record)
{
    m_log.placed(record);
}

void metering_sink::refused(const refusal_record& record)
{
    m_metrics.observe(record);
    m_log.refused(record);
}

void metering_sink::ended(const outcome_record& record)
{
    m_log.ended(record);
}

void metering_sink::changed(const change_record& record)
{
    m_log.changed(record);
}

void metering_sink::failed(std::string_view part, const failure& problem)
{
    m_metrics.observe(part, problem);
    m_log.failed(part, problem);
}

} // namespace kumquatbeam
