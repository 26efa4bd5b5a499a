#pragma once

#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/types/time.hpp"

namespace kumquatbeam {

/// All decisions of one daemon, as the decisions duty drives them. An engine has no thread, clock, socket or encoding
/// of its own; events and the time come in, commands go out by the outlet that it was made with.
class decision_engine {
public:
    virtual ~decision_engine() = default;

    virtual void handle(const decision_event&, time_point now) = 0;

    /// When `onDeadline` is due next.
    virtual time_point nextDeadline() const = 0;

    virtual void onDeadline(time_point now) = 0;
};

} // namespace kumquatbeam
