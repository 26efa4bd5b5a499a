#pragma once

#include "kumquatbeam/decisions/placement/endpoint_speed.hpp"
#include "kumquatbeam/decisions/placement/placement_strategy.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace kumquatbeam {

/// A change of an engine's estimated rate, for the log.
struct speed_change {
    endpoint_id endpoint;
    /// @{ Prompt tokens per millisecond.
    double before = 0;
    double now = 0;
    /// @}
};

/// The learned prefill rates of a pool's endpoints. It keeps `endpoint_view::prefillRate` of the pool's rows up to
/// date, so that placing a call computes no rates. The functions take the rows in the order of the last `refresh`.
class pool_speeds {
public:
    /// Rate of an engine while nothing is known of any engine of the pool, in prompt tokens per millisecond.
    static constexpr double defaultRate = 50;

    /// Period in which the decay and the fallback are applied while rates are learned.
    static constexpr std::chrono::milliseconds updatePeriod { 250 };

    /// @{ A rate that has changed by this factor since its last log line is logged again, but not within the period.
    static constexpr double loggedFactor = 1.5;
    static constexpr std::chrono::seconds logPeriod { 10 };
    /// @}

    /// Follows the pool's endpoints. A new endpoint and a new incarnation start with the fallback rate, and rates that
    /// other routers reported before, up to the number `lastReport`, do not count for them.
    void refresh(std::span<endpoint_view> rows, std::uint64_t lastReport);

    /// @{ Record what was learned of the endpoint in one row; see `endpoint_speed`.
    void recordSample(endpoint_view&, std::size_t index, const prefill_sample&, time_point now);
    void recordSlowdown(endpoint_view&, std::size_t index, double slowdown, time_point now);
    /// @}

    /// Records a rate that another router has reported, unless its number is known. Numbers increase with each report.
    void recordReport(endpoint_view&, std::size_t index, double rate, std::uint64_t number, time_point now);

    /// When `update` is due; `never` while nothing is learned.
    time_point nextUpdate() const { return m_nextUpdate; }

    /// Applies the decay, the end of slowdowns and the fallback, and returns the changes to log.
    std::vector<speed_change> update(std::span<endpoint_view> rows, time_point now);

    /// Mean rate of the engines of which something was learned lately.
    double fallback() const { return m_fallback; }

    const endpoint_speed& at(std::size_t index) const { return m_speeds[index].speed; }

    /// See `endpoint_speed::takeReport`.
    std::uint16_t takeReport(std::size_t index, time_point now) { return m_speeds[index].speed.takeReport(now); }

private:
    struct row {
        endpoint_id endpoint;
        std::int64_t incarnation = 0;
        endpoint_speed speed;
        std::uint64_t lastReport = 0;
        double loggedRate = 0;
        time_point logAgainAt = time_point::min();
    };

    void updateFallback();
    void scheduleUpdate(time_point at) { m_nextUpdate = std::min(m_nextUpdate, at); }

    std::vector<row> m_speeds;
    double m_fallback = defaultRate;
    time_point m_nextUpdate = never;
};

} // namespace kumquatbeam
