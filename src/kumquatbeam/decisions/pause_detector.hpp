#pragma once

#include "kumquatbeam/types/time.hpp"

namespace kumquatbeam {

/// Detects that the process was paused. The decisions duty iterates at least once per heartbeat period, so a longer gap
/// means that the process did not run, and that its view of its peers is as stale as the gap is long.
class pause_detector {
public:
    /// Maximum gap between two iterations that does not count as a pause. Shorter than the peer timeout, longer than a
    /// heartbeat period on a busy machine.
    static constexpr std::chrono::milliseconds maximumIterationGap { 2500 };

    /// Records an iteration. True when the process was paused before it.
    bool recordIteration(time_point now);

private:
    time_point m_nextIterationDeadline = never;
};

} // namespace kumquatbeam
