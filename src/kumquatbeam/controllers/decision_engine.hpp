#pragma once

#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/types/time.hpp"

namespace kumquatbeam {

/// All decisions of one daemon, driven by the decisions duty. An engine has no thread, clock, socket or encoding of its
/// own: it takes events and the time, and sends commands to the sink passed to its constructor.
class decision_engine {
public:
    virtual ~decision_engine() = default;

    virtual void handle(const decision_event&, time_point now) = 0;

    /// The next time at which `onDeadline` is due.
    virtual time_point nextDeadline() const = 0;

    virtual void onDeadline(time_point now) = 0;
};

} // namespace kumquatbeam
