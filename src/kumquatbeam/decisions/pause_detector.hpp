#pragma once

#include "kumquatbeam/types/time.hpp"

namespace kumquatbeam {

/// Tells when the process was paused: the decisions take a turn at least once in a heartbeat period, so a longer gap
/// means that the process did not run. What it believes about others is then as old as the gap.
class pause_detector {
public:
    /// Longest gap between two turns that is not taken for a pause. Shorter than the time after which a peer's beliefs
    /// end, longer than a heartbeat period on a busy machine.
    static constexpr std::chrono::milliseconds maximumIterationGap { 2500 };

    /// Notes a turn. True when the process was paused before it.
    bool recordIteration(time_point now);

private:
    time_point m_nextIterationDeadline = never;
};

} // namespace kumquatbeam
