#pragma once

#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// Estimates a lower bound of the time for which a pool's calls hold a slot, from recently answered calls.
class service_time_estimate {
public:
    /// An estimate without an answered call for this long is discarded; otherwise it could reject the calls that would
    /// correct it.
    static constexpr std::chrono::seconds validity { 5 };

    /// Records an answered call.
    void record(service_cost, time_point now);

    /// The time that nearly every call takes at least: the smoothed time minus twice its smoothed deviation; zero when
    /// unknown.
    std::chrono::microseconds lowerBound(time_point now) const;

private:
    double m_mean = 0;
    double m_deviation = 0;
    time_point m_validUntil {};
};

/// Estimates the wait in an account's queue from the intervals between starts while further calls of the account
/// waited.
class queue_wait_estimate {
public:
    /// Records that a call of the account has started and `waiting` calls are left.
    void recordStart(std::int64_t waiting, time_point now);

    /// Records that the queue is empty: the interval to the next start is not counted.
    void recordIdle() { m_wasBacklogged = false; }

    /// Estimated start of a call with `waiting` others ahead of it.
    time_point expectedStart(std::int64_t waiting, time_point now) const;

private:
    double m_interval = 0;
    time_point m_startedAt {};
    bool m_wasBacklogged = false;
};

} // namespace kumquatbeam
