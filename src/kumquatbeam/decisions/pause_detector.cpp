#include "kumquatbeam/decisions/pause_detector.hpp"

namespace kumquatbeam {

bool pause_detector::recordIteration(time_point now)
{
    const bool wasPaused = now > m_nextTurnBy;
    m_nextTurnBy = now + maximumIterationGap;
    return wasPaused;
}

} // namespace kumquatbeam
