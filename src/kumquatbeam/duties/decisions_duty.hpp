#pragma once

#include "kumquatbeam/controllers/decision_core.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/duty.hpp"

#include <boost/asio/steady_timer.hpp>

namespace kumquatbeam {

/// The duty of deciding: runs the decision core on its own thread and sleeps until an event or its next deadline.
class decisions_duty final : private command_outlet {
public:
    decisions_duty(const router_settings&, incarnation, duty_links&, decision_log&);

    void start();
    void stop() { m_duty.stop(); }

    duty<decision_event>& inbox() { return m_duty; }

private:
    void send(caller_command) override;
    void send(endpoint_command) override;
    void send(peer_command) override;
    void send(operator_command) override;

    void handle(const decision_event&);
    void armTimer();

    duty_links& m_links;
    duty<decision_event> m_duty;
    boost::asio::steady_timer m_timer;
    time_point m_armedFor = never;
    decision_core m_core;
};

} // namespace kumquatbeam
