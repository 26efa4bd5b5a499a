#include "kumquatbeam/decisions/pause_detector.hpp"

namespace kumquatbeam {

bool pause_detector::recordIteration(time_point now)
{
    const bool wasPaused = now > m_nextIterationDeadline;
    m_nextIterationDeadline = now + maximumIterationGap;
    return wasPaused;
}

} // namespace kumquatbeam
