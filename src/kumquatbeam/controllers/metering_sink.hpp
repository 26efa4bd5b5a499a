#pragma once

#include "kumquatbeam/controllers/metrics_controller.hpp"

namespace kumquatbeam {

/// Passes commands and log records on, and shows the metrics controller what it counts.
class metering_sink final : public command_sink, public decision_log {
public:
    metering_sink(command_sink&, decision_log&, metrics_controller&);

    /// The time at which what passes from now on happens.
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
