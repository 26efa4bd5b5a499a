#pragma once

#include "kumquatbeam/types/time.hpp"

#include <chrono>

namespace kumquatbeam {

/// The longest of the durations recorded lately, in constant memory.
class longest_duration {
public:
    /// A duration is remembered for at least this long and at most twice as long.
    static constexpr std::chrono::seconds window { 30 };

    void record(std::chrono::milliseconds, time_point now);

    /// Zero if no duration was recorded lately.
    std::chrono::milliseconds value(time_point now) const;

private:
    std::chrono::milliseconds m_current { 0 };
    std::chrono::milliseconds m_previous { 0 };
    time_point m_currentEndsAt {};
};

} // namespace kumquatbeam
