#pragma once

#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>

namespace kumquatbeam {

/// How fast the engines of a pool get through what they are believed to have to read, learned from the times to the
/// first events of answers.
///
/// It is slower than the engines can read as long as they also generate, share their memory, or have to read what they
/// were believed to keep. Estimates made with it then tell when an answer begins, whatever slows it.
class reading_pace {
public:
    /// Prompt tokens a millisecond that are assumed until answers have shown otherwise.
    static constexpr double assumedRate = 50;

    /// @{ Bounds of the rate, in prompt tokens a millisecond: few answers must neither stop a pool nor flood it.
    static constexpr double slowestRate = 15;
    static constexpr double fastestRate = 90;
    /// @}

    /// Time in which an answer loses all but a third of its weight.
    static constexpr std::chrono::seconds memory { 2 };

    /// Time for which the shortest time to a first event is remembered; it is what an idle engine takes.
    static constexpr std::chrono::seconds shortestMemory { 5 };

    /// Prompt tokens that the assumed rate weighs as much as.
    static constexpr double assumedWeight = 20'000;

    /// An answer began this long after its request was sent, to an engine that was believed to have these tokens to
    /// read until then.
    void record(token_count believed, std::chrono::milliseconds elapsed, time_point now);

    /// Prompt tokens a millisecond.
    double rate() const;

private:
    void rememberShortest(std::chrono::milliseconds elapsed, time_point now);

    double m_tokens = 0;
    /// Milliseconds beyond what an idle engine takes.
    double m_time = 0;
    time_point m_at {};
    /// The shortest times of this span and of the one before.
    std::chrono::milliseconds m_shortest { std::chrono::milliseconds::max() };
    std::chrono::milliseconds m_shortestBefore { std::chrono::milliseconds::max() };
    time_point m_nextSpan {};
};

} // namespace kumquatbeam
