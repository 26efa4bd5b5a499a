#pragma once

#include "kumquatbeam/types/units.hpp"

#include <cstdint>

namespace kumquatbeam {

/// Limit of this router's concurrent calls at one endpoint: additive increase and multiplicative decrease (AIMD),
/// driven by the endpoint's load reports.
class concurrency_limit {
public:
    /// Consecutive load reports with waiting calls that lower the limit.
    static constexpr int reportsBeforeDecrease = 2;

    /// Sets the endpoint's slots from the fleet document; the limit never exceeds them.
    void setCeiling(slot_count);

    /// Applies a load report, given this router's calls in flight at the endpoint.
    void observe(std::int64_t waitingAtEndpoint, slot_count runningHere);

    slot_count limit() const { return m_limit; }

private:
    slot_count m_ceiling { 0 };
    slot_count m_limit { 0 };
    int m_overloadedReports = 0;
};

} // namespace kumquatbeam
