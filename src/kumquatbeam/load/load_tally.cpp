#include "kumquatbeam/load/load_tally.hpp"

#include <nlohmann/json.hpp>

namespace kumquatbeam {

namespace accumulators = boost::accumulators;

namespace {

    constexpr double median = 0.5;
    constexpr double percentile95 = 0.95;
    constexpr double microsecondsPerMillisecond = 1000.0;

    double inMilliseconds(std::chrono::microseconds time)
    {
        return static_cast<double>(time.count()) / microsecondsPerMillisecond;
    }

} // namespace

load_tally::load_tally()
    : m_firstByteP50(accumulators::quantile_probability = median)
    , m_firstByteP95(accumulators::quantile_probability = percentile95)
    , m_totalP95(accumulators::quantile_probability = percentile95)
{
}

void load_tally::add(const load_outcome& outcome)
{
    if (outcome.kind == "answered") {
        ++m_answered;
        if (!outcome.isBodyCorrect)
            ++m_wrong;
        m_firstByteP50(inMilliseconds(outcome.firstByte));
        m_firstByteP95(inMilliseconds(outcome.firstByte));
        m_totalP95(inMilliseconds(outcome.total));
    } else if (outcome.kind == "not-run") {
        ++m_notRun;
    } else if (outcome.kind == "unknown") {
        ++m_unknown;
    } else if (outcome.kind == "left") {
        ++m_left;
    } else {
        ++m_noReply;
    }
}

void load_tally::add(const load_order_result& result)
{
    ++m_orders;
    if (result.attempts > 1)
        m_orderRetries += result.attempts - 1;
    if (result.isContradictory)
        ++m_contradictory;
    add(result.outcome);
}

std::string load_tally::toJson(const std::string& stream, const std::string& account) const
{
    nlohmann::ordered_json json {
        { "stream", stream },
        { "account", account },
        { "sent", m_sent },
        { "answered", m_answered },
        { "wrong", m_wrong },
        { "not_run", m_notRun },
        { "unknown", m_unknown },
        { "no_reply", m_noReply },
        { "left", m_left },
        { "orders", m_orders },
        { "order_retries", m_orderRetries },
        { "contradictory", m_contradictory },
        { "first_byte_p50_ms", accumulators::p_square_quantile(m_firstByteP50) },
        { "first_byte_p95_ms", accumulators::p_square_quantile(m_firstByteP95) },
        { "total_p95_ms", accumulators::p_square_quantile(m_totalP95) },
    };
    return json.dump();
}

} // namespace kumquatbeam
