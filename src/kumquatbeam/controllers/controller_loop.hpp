#pragma once

#include "kumquatbeam/controllers/controller.hpp"

#include <deque>
#include <functional>
#include <vector>

namespace kumquatbeam {

/// Passes each event, and the events raised by it, to a list of controllers in order.
class controller_loop {
public:
    struct hooks {
        /// Called at the start of each iteration.
        std::function<void(decision_context&)> onIterationStart {};
        /// Called with each event before the controllers; returns false to discard the event.
        std::function<bool(const decision_event&, decision_context&)> interceptEvent {};
    };

    controller_loop(command_sink&, decision_log&, hooks);

    /// Adds a controller at the end of the list. A controller goes after those whose state it reads.
    void append(controller&);

    void handle(const decision_event&, time_point now);
    time_point nextDeadline() const;
    void onDeadline(time_point now);

    /// Handles all raised events.
    void handleRaised(decision_context&);

    /// Answers a status query with a report that every controller contributes to.
    void answerStatus(const status_requested&, status_report, decision_context&) const;

private:
    void beginIteration(decision_context&);
    void dispatch(const decision_event&, decision_context&);

    command_sink& m_commands;
    decision_log& m_log;
    hooks m_hooks;
    std::deque<decision_event> m_raised;
    std::vector<controller*> m_controllers;
};

} // namespace kumquatbeam
