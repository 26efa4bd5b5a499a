#include "kumquatbeam/decisions/pause_detector.hpp"

namespace kumquatbeam {

bool pause_detector::noteTurn(time_point now)
{
    const bool wasPaused = now > m_nextTurnBy;
    m_nextTurnBy = now + gapLimit;
    return wasPaused;
}

} // namespace kumquatbeam
