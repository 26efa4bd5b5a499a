#include "kumquatbeam/controllers/duration_meter.hpp"

#include <array>

namespace kumquatbeam {

namespace accumulators = boost::accumulators;

namespace {

    constexpr std::array<double, 3> probabilities { 0.5, 0.95, 0.99 };

    /// The extended P-square estimator has two markers per quantile plus three, and needs an observation for each
    /// marker.
    constexpr std::size_t markers = 2 * probabilities.size() + 3;

} // namespace

duration_meter::duration_meter()
    : m_seconds(accumulators::tag::extended_p_square::probabilities = probabilities)
{
}

void duration_meter::observe(std::chrono::nanoseconds duration)
{
    m_seconds(std::chrono::duration<double>(duration).count());
}

duration_report duration_meter::report() const
{
    duration_report result { .count = accumulators::count(m_seconds) };
    if (result.count == 0)
        return result;
    result.totalSeconds = accumulators::sum(m_seconds);
    result.largestSeconds = accumulators::max(m_seconds);
    if (result.count < markers)
        return result;
    const auto estimates = accumulators::extended_p_square(m_seconds);
    auto estimate = estimates.begin();
    for (const auto probability : probabilities)
        result.quantiles.push_back({ probability, *estimate++ });
    return result;
}

} // namespace kumquatbeam
