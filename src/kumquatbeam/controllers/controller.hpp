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

/// What a controller may use while it handles an event.
struct decision_context {
    time_point now;
    command_sink& commands;
    decision_log& log;
    /// Events that this one brings about; every controller sees them next, in this order.
    std::deque<decision_event>& raised;
};

/// Owns one piece of state. It lives on the decisions duty and changes only by events and deadlines; the other
/// controllers and the filters read it there.
class controller {
public:
    virtual ~controller() = default;

    /// Name in logs.
    virtual std::string_view name() const = 0;

    /// Takes an event into the state.
    virtual void handle(const decision_event&, decision_context&) = 0;

    /// When `onDeadline` is due next.
    virtual time_point nextDeadline() const { return never; }

    /// Does what has come due.
    virtual void onDeadline(decision_context&) { }

    /// Adds what an operator wants to see.
    virtual void describe(status_report&) const { }
};

} // namespace kumquatbeam
