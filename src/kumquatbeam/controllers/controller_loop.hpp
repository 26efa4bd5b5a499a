#pragma once

#include "kumquatbeam/controllers/controller.hpp"

#include <deque>
#include <functional>
#include <vector>

namespace kumquatbeam {

/// Shows every event, and every event that follows from it, to a list of controllers in their order.
class controller_loop {
public:
    struct hooks {
        /// Called at the start of each turn.
        std::function<void(decision_context&)> onTurnStart {};
        /// Sees each event before the controllers; false keeps it from them.
        std::function<bool(const decision_event&, decision_context&)> interceptEvent {};
    };

    controller_loop(command_sink&, decision_log&, hooks);

    /// Adds a controller behind the others. State that others read comes first.
    void append(controller&);

    void handle(const decision_event&, time_point now);
    time_point nextDeadline() const;
    void onDeadline(time_point now);

    /// Handles what has been raised so far.
    void handleRaised(decision_context&);

    /// Answers an operator, with what every controller adds to the report.
    void answerStatus(const status_requested&, status_report, decision_context&) const;

private:
    void beginTurn(decision_context&);
    void dispatch(const decision_event&, decision_context&);

    command_sink& m_commands;
    decision_log& m_log;
    hooks m_hooks;
    std::deque<decision_event> m_raised;
    std::vector<controller*> m_controllers;
};

} // namespace kumquatbeam
