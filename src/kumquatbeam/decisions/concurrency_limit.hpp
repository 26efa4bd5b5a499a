#pragma once

#include "kumquatbeam/types/units.hpp"

#include <cstdint>

namespace kumquatbeam {

/// How many calls this router keeps at one endpoint: additive increase, multiplicative decrease by the endpoint's load
/// reports.
class concurrency_limit {
public:
    /// Load reports in a row with waiting calls after which the limit falls.
    static constexpr int reportsBeforeDecrease = 2;

    /// Sets the slots that the operators' document allows; the limit never exceeds them.
    void setCeiling(slot_count);

    /// Takes in a load report, with the calls that this router has running at the endpoint.
    void observe(std::int64_t waitingAtEndpoint, slot_count runningHere);

    slot_count limit() const { return m_limit; }

private:
    slot_count m_ceiling { 0 };
    slot_count m_limit { 0 };
    int m_overloadedReports = 0;
};

} // namespace kumquatbeam
