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
    /// `answered`, `not-run` or `unknown`; `left` if the caller disconnected first; empty if no reply was received.
    std::string kind;
    std::string body {};
    /// Ticket in the reply, as text.
    std::string ticket {};
    /// Whether the body of an answered call matches the expected body in every byte.
    bool isBodyCorrect = false;
    std::chrono::microseconds firstByte { 0 };
    std::chrono::microseconds total { 0 };
};

/// Result of one order of a load run, over all attempts.
struct load_order_result {
    /// The most certain outcome of the attempts; its kind is the kind of the order.
    load_outcome outcome {};
    std::int64_t attempts = 0;
    /// Whether two replies contradict each other: two different answers, or an answer and "not run".
    bool isContradictory = false;
};

/// Outcome counts and latencies of one stream's calls.
class load_tally {
public:
    load_tally();

    void countSent() { ++m_sent; }
    void add(const load_outcome&);
    void add(const load_order_result&);

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
    std::int64_t m_left = 0;
    std::int64_t m_orders = 0;
    std::int64_t m_orderRetries = 0;
    std::int64_t m_contradictory = 0;
    quantile m_firstByteP50;
    quantile m_firstByteP95;
    quantile m_totalP95;
};

} // namespace kumquatbeam
