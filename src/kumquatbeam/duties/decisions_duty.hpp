#pragma once

#include "kumquatbeam/controllers/decision_engine.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"

#include <functional>
#include <memory>

namespace kumquatbeam {

/// The duty that decides: runs a decision engine on its own thread, which sleeps until an event or the next deadline.
class decisions_duty final : private command_sink {
public:
    /// Creates the decision engine, which sends its commands to the sink.
    using engine_factory = std::function<std::unique_ptr<decision_engine>(command_sink&)>;

    decisions_duty(const router_settings&, duty_links&, const engine_factory&);

    void start();
    void stop() { m_duty.stop(); }

    duty<decision_event>& inbox() { return m_duty; }

private:
    void send(caller_command) override;
    void send(endpoint_command) override;
    void send(peer_command) override;
    void send(operator_command) override;

    void handle(const decision_event&);
    void onDeadline();
    void failRequestOf(const decision_event&);
    void armTimer();

    duty_links& m_links;
    duty<decision_event> m_duty;
    deadline_timer m_timer;
    time_point m_armedFor = never;
    /// Set after an unexpected error at a deadline, which would otherwise be due again at once.
    time_point m_retryDeadlineAt = time_point::min();
    std::unique_ptr<decision_engine> m_engine;
};

} // namespace kumquatbeam
