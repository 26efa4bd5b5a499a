#pragma once

#include "kumquatbeam/controllers/metrics_controller.hpp"

namespace kumquatbeam {

/// Forwards commands and log records, and reports those that are counted to the metrics controller.
class metering_sink final : public command_sink, public decision_log {
public:
    metering_sink(command_sink&, decision_log&, metrics_controller&);

    /// Sets the time of the commands that follow.
    void setTime(time_point now) { m_now = now; }

    void send(caller_command) override;
    void send(endpoint_command) override;
    void send(peer_command) override;
    void send(operator_command) override;

    void placed(const placement_record&) override;
    void refused(const refusal_record&) override;
    void ended(const outcome_record&) override;
    void changed(const change_record&) override;
    void failed(std::string_view part, const failure&) override;

private:
    command_sink& m_commands;
    decision_log& m_log;
    metrics_controller& m_metrics;
    time_point m_now {};
};

} // namespace kumquatbeam
