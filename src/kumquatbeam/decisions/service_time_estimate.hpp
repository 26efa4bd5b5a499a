#pragma once

#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// How long a pool's calls hold a slot at the least, from the calls that were answered lately.
class service_time_estimate {
public:
    /// An estimate that no answered call has confirmed for this long says nothing, so that it cannot shut out the very
    /// calls that would correct it.
    static constexpr std::chrono::seconds validity { 5 };

    /// Takes in an answered call.
    void record(service_cost, time_point now);

    /// The time that nearly every call takes: the smoothed time less twice its smoothed deviation; zero when unknown.
    std::chrono::microseconds lowerBound(time_point now) const;

private:
    double m_mean = 0;
    double m_deviation = 0;
    time_point m_validUntil {};
};

/// How fast an account's queue drains, from the starts of its calls while others of it waited.
class queue_wait_estimate {
public:
    /// A call of the account has started; `waiting` are left.
    void recordStart(std::int64_t waiting, time_point now);

    /// The queue was found empty: the time until the next start is no sign of its pace.
    void recordIdle() { m_wasBacklogged = false; }

    /// When a call that joins behind `waiting` others starts, for all that is known.
    time_point expectedStart(std::int64_t waiting, time_point now) const;

private:
    double m_interval = 0;
    time_point m_startedAt {};
    bool m_wasBacklogged = false;
};

} // namespace kumquatbeam
