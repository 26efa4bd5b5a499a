#pragma once

#include "kumquatbeam/controllers/metrics_report.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <chrono>

namespace kumquatbeam {

/// Summarises durations in constant memory: count, sum, maximum and estimated quantiles.
class duration_meter {
public:
    duration_meter();

    void observe(std::chrono::nanoseconds);
    duration_report report() const;

private:
    boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>
        m_seconds;
};

} // namespace kumquatbeam
