#include "kumquatbeam/decisions/concurrency_limit.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    constexpr slot_count minimumLimit { 1 };
    constexpr slot_count additiveIncrease { 1 };

    /// A decrease keeps this many in ten of the calls.
    constexpr std::int32_t decreaseNumerator = 7;
    constexpr std::int32_t decreaseDenominator = 10;

} // namespace

void concurrency_limit::setCeiling(slot_count ceiling)
{
    if (ceiling == m_ceiling)
        return;
    // An endpoint that nothing held back is not held back after its slots have grown either.
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
    // Slots that other routers use are no part of this router's load, so the decrease starts from its own calls.
    const auto inUse = std::min(m_limit, runningHere);
    m_limit = std::max(slot_count { inUse.value * decreaseNumerator / decreaseDenominator }, minimumLimit);
}

} // namespace kumquatbeam
