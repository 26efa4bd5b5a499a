#pragma once

#include "kumquatbeam/types/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <string>

namespace kumquatbeam {

/// How one call of a load run ended.
struct load_outcome {
    /// `answered`, `not-run` or `unknown`; empty when no reply came at all.
    std::string kind;
    /// Whether an answered call's body is the one that the request asks for, to the last byte.
    bool isWhole = false;
    std::chrono::microseconds firstByte { 0 };
    std::chrono::microseconds total { 0 };
};

/// What came of one stream's calls.
class load_tally {
public:
    load_tally();

    void countSent() { ++m_sent; }
    void add(const load_outcome&);

    /// The tally as a JSON object.
    std::string toJson(const std::string& stream, const std::string& account) const;

private:
    using quantile = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    std::int64_t m_sent = 0;
    std::int64_t m_answered = 0;
    std::int64_t m_wrong = 0;
    std::int64_t m_notRun = 0;
    std::int64_t m_unknown = 0;
    std::int64_t m_noReply = 0;
    quantile m_firstByteP50;
    quantile m_firstByteP95;
    quantile m_totalP95;
};

} // namespace kumquatbeam
