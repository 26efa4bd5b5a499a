#pragma once

#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <array>
#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// Times at which this router tells refused callers of a pool to retry.
///
/// Answers a load in which many more calls arrive than the pool can start: callers that all return within a second meet
/// the same load and are refused again. A caller gets the first time at which the calls that are due to return take
/// only a part of what the router can start, so callers return in the order in which they were refused and at a rate
/// that leaves room for new calls. With few refusals the first time is the earliest one.
class return_schedule {
public:
    /// Part of the tokens that the router starts which returning calls may take. The rest is for new calls, which can
    /// still be answered within their latency target.
    static constexpr double returningFraction = 0.25;

    /// The time within which callers may return.
    struct return_window {
        time_point earliest;
        time_point latest;
    };

    /// The time in the window for a call that costs this many tokens; `startedPerSecond` is the rate at which the
    /// router has lately started calls of the pool, in tokens per second. If the window is full, its least reserved
    /// slot is used. `spread` is a number from 0 to 1 that places the caller within the slot.
    time_point timeFor(token_count cost, return_window, double startedPerSecond, double spread, time_point now) const;

    /// Records that a call that costs this many tokens is told to return then.
    void reserve(token_count cost, time_point);

private:
    /// Resolution of the schedule.
    static constexpr std::chrono::milliseconds slotLength { 100 };

    /// Callers wait at most a third of their remaining time, so the schedule need not cover more than this.
    static constexpr std::size_t slotCount = 64;

    struct slot {
        std::int64_t number = -1;
        double reservedTokens = 0;
    };

    static std::int64_t numberOf(time_point);
    double reservedAt(std::int64_t number) const;

    std::array<slot, slotCount> m_slots;
};

} // namespace kumquatbeam
