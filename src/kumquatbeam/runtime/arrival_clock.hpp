#pragma once

#include "kumquatbeam/types/time.hpp"

#include <algorithm>
#include <chrono>

namespace kumquatbeam {

/// How often a duty notes that it runs. Bounds the delay that goes unnoticed together with `pauseThreshold`.
inline constexpr std::chrono::milliseconds pauseTickPeriod { 50 };

/// A gap between two ticks that counts as a pause of the process.
inline constexpr std::chrono::milliseconds pauseThreshold { 150 };

/// Time after a pause in which what is read may still have lain in the socket's buffer during the pause.
inline constexpr std::chrono::milliseconds pauseRecoveryWindow { 1000 };

/// Longest time for which bytes lie in a socket while a duty that is behind works through what came before them.
inline constexpr std::chrono::milliseconds maxBacklogAge { 2000 };

/// Delay of a tick from which on the duty is behind with its work: a call goes through several turns of it, and its
/// first answer is wanted within a few hundred milliseconds.
inline constexpr std::chrono::milliseconds overloadTickDelay { 80 };

/// Knows how long ago bytes that are read now may have arrived. A process that was paused finds them in its sockets,
/// and the times left that they state count from before the pause.
class arrival_clock {
public:
    explicit arrival_clock(time_point now)
        : m_lastTick(now)
        , m_arrivedAfter(now)
        , m_suspectUntil(time_point::min())
    {
    }

    /// Notes that the duty runs.
    void tick(time_point now)
    {
        detectPause(now);
        m_tickDelay = now - m_lastTick - pauseTickPeriod;
        m_lastTick = now;
    }

    /// Whether the duty takes much longer for one turn of its work than it should: more comes than it can do.
    bool isBehind(time_point now) const
    {
        return m_tickDelay > overloadTickDelay || now - m_lastTick - pauseTickPeriod > overloadTickDelay;
    }

    /// The time after which bytes that are read now have arrived.
    time_point earliestArrival(time_point now)
    {
        detectPause(now);
        return now < m_suspectUntil ? m_arrivedAfter : now;
    }

private:
    void detectPause(time_point now)
    {
        if (now - m_lastTick < pauseThreshold)
            return;
        const bool isFirst = m_lastTick >= m_suspectUntil;
        // Where one pause follows the other, what lay there during the first has been read meanwhile.
        m_arrivedAfter = isFirst ? m_lastTick : std::max(m_arrivedAfter, m_lastTick - maxBacklogAge);
        m_suspectUntil = now + pauseRecoveryWindow;
    }

    time_point m_lastTick;
    clock::duration m_tickDelay {};
    time_point m_arrivedAfter;
    time_point m_suspectUntil;
};

} // namespace kumquatbeam
