#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/controllers/decision_log.hpp"
#include "kumquatbeam/controllers/status_report.hpp"
#include "kumquatbeam/types/event_handlers.hpp"
#include "kumquatbeam/types/time.hpp"

#include <deque>
#include <string_view>

namespace kumquatbeam {

/// Time and outputs available to a controller while it handles an event.
struct decision_context {
    time_point now;
    command_sink& commands;
    decision_log& log;
    /// Events raised by the current one; every controller handles them next, in this order.
    std::deque<decision_event>& raised;
};

/// Owns one part of the state of the decisions duty. The state changes only on events and deadlines; other controllers
/// and the filters read it on the same thread.
class controller {
public:
    virtual ~controller() = default;

    /// Name in logs.
    virtual std::string_view name() const = 0;

    /// Updates the state for an event.
    virtual void handle(const decision_event&, decision_context&) = 0;

    /// The next time at which `onDeadline` is due.
    virtual time_point nextDeadline() const { return never; }

    /// Handles everything that is due.
    virtual void onDeadline(decision_context&) { }

    /// Adds the state of this controller to an operator's report.
    virtual void describe(status_report&) const { }
};

} // namespace kumquatbeam
