#pragma once

#include "kumquatbeam/types/time.hpp"

#include <algorithm>
#include <chrono>

namespace kumquatbeam {

/// Period of a duty's ticks. Together with `pauseThreshold` it bounds the delay that goes undetected.
inline constexpr std::chrono::milliseconds pauseTickPeriod { 50 };

/// Gap between two ticks that counts as a pause of the process.
inline constexpr std::chrono::milliseconds pauseThreshold { 150 };

/// Time after a pause during which bytes that are read may still have arrived while the process was paused.
inline constexpr std::chrono::milliseconds pauseRecoveryWindow { 1000 };

/// Longest time that bytes wait in a socket while an overloaded duty processes earlier ones.
inline constexpr std::chrono::milliseconds maxBacklogAge { 2000 };

/// Tick delay above which the duty counts as overloaded: a call takes several iterations of the event loop, and its
/// first byte is expected within a few hundred milliseconds.
inline constexpr std::chrono::milliseconds overloadTickDelay { 80 };

/// Estimates when bytes that are read now have arrived. After a pause of the process, bytes may have been in its
/// sockets for a while, and the remaining times that they state count from their arrival.
class arrival_clock {
public:
    explicit arrival_clock(time_point now)
        : m_lastTick(now)
        , m_earliestArrival(now)
        , m_recoveryWindowEnd(time_point::min())
    {
    }

    /// Records that the duty runs.
    void tick(time_point now)
    {
        detectPause(now);
        m_tickDelay = now - m_lastTick - pauseTickPeriod;
        m_lastTick = now;
    }

    /// Records that all bytes that had arrived until now were read, so that earlier pauses have no effect any more.
    void caughtUp(time_point now)
    {
        // The process may have been paused after the last bytes were read.
        if (now - m_lastTick < pauseThreshold)
            m_recoveryWindowEnd = std::min(m_recoveryWindowEnd, m_lastTick);
    }

    /// Whether bytes that are read now may have arrived during a pause.
    bool isRecovering(time_point now) const { return now < m_recoveryWindowEnd; }

    /// Whether the duty is overloaded: an iteration of its event loop takes much longer than it should.
    bool isOverloaded(time_point now) const
    {
        return m_tickDelay > overloadTickDelay || now - m_lastTick - pauseTickPeriod > overloadTickDelay;
    }

    /// The earliest time at which bytes that are read now can have arrived.
    time_point earliestArrival(time_point now)
    {
        detectPause(now);
        return isRecovering(now) ? m_earliestArrival : now;
    }

private:
    void detectPause(time_point now)
    {
        if (now - m_lastTick < pauseThreshold)
            return;
        const bool isFirst = m_lastTick >= m_recoveryWindowEnd;
        // If another pause follows within the recovery window, the bytes of the first one were read in between, except
        // for a backlog of at most `maxBacklogAge`.
        m_earliestArrival = isFirst ? m_lastTick : std::max(m_earliestArrival, m_lastTick - maxBacklogAge);
        m_recoveryWindowEnd = now + pauseRecoveryWindow;
    }

    time_point m_lastTick;
    clock::duration m_tickDelay {};
    time_point m_earliestArrival;
    time_point m_recoveryWindowEnd;
};

} // namespace kumquatbeam
