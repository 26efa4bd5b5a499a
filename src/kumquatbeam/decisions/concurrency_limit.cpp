#include "kumquatbeam/decisions/concurrency_limit.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    constexpr slot_count minimumLimit { 1 };
    constexpr slot_count additiveIncrease { 1 };

    /// Fraction of the calls in flight that a decrease keeps.
    constexpr std::int32_t decreaseNumerator = 7;
    constexpr std::int32_t decreaseDenominator = 10;

} // namespace

void concurrency_limit::setCeiling(slot_count ceiling)
{
    if (ceiling == m_ceiling)
        return;
    // A limit at the old ceiling moves to the new one; a reduced limit stays reduced.
    const bool wasUnlimited = m_limit == m_ceiling;
    m_ceiling = ceiling;
    m_limit = wasUnlimited ? ceiling : std::min(m_limit, ceiling);
}

void concurrency_limit::observe(std::int64_t waitingAtEndpoint, slot_count runningHere)
{
    if (waitingAtEndpoint == 0) {
        m_overloadedReports = 0;
        m_limit = std::min(m_limit + additiveIncrease, m_ceiling);
        return;
    }
    if (++m_overloadedReports < reportsBeforeDecrease)
        return;
    m_overloadedReports = 0;
    // Other routers use part of the slots, so the decrease starts from this router's own calls.
    const auto inUse = std::min(m_limit, runningHere);
    m_limit = std::max(slot_count { inUse.value * decreaseNumerator / decreaseDenominator }, minimumLimit);
}

} // namespace kumquatbeam
