#include "kumquatbeam/decisions/placement/endpoint_speed.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatbeam {

namespace {

    double millisecondsOf(clock::duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    double withinBounds(double rate)
    {
        return std::clamp(rate, endpoint_speed::lowestRate, endpoint_speed::highestRate);
    }

    double withinStep(double from, double to)
    {
        return std::clamp(to, from / endpoint_speed::largestStep, from * endpoint_speed::largestStep);
    }

} // namespace

void endpoint_speed::sums::decay(time_point now)
{
    if (weight == 0 || now <= lastAt)
        return;
    const auto kept = std::exp(-millisecondsOf(now - lastAt) / millisecondsOf(decayTime));
    tokens *= kept;
    weight *= kept;
    lastAt = now;
}

void endpoint_speed::sums::add(double addedTokens, double addedWeight, time_point now)
{
    decay(now);
    tokens += addedTokens;
    weight += addedWeight;
    lastAt = now;
}

void endpoint_speed::recordSample(const prefill_sample& sample, time_point now)
{
    const auto slowdown = std::clamp(sample.slowdown, leastSlowdown, largestSlowdown);
    const auto time = millisecondsOf(sample.time - baseTime) / slowdown;
    if (time <= 0 || sample.work.value <= 0)
        return;
    const auto work = static_cast<double>(sample.work.value);
    const auto expected = work / m_rate;
    const auto confidence = expected / (expected + timeNoise);
    // The other routers get the sample as it is, so that what they have reported does not come back to them.
    const auto measured = withinBounds(work / time);
    m_unreported.add(work * confidence, work / measured * confidence, now);
    const auto bounded = boundedRate(measured);
    learn(bounded, work / bounded * confidence, now);
}

void endpoint_speed::recordReport(double rate, time_point now)
{
    learn(boundedRate(withinBounds(rate)), reportWeight, now);
}

void endpoint_speed::recordSlowdown(double slowdown, time_point now)
{
    m_slowdown = std::clamp(slowdown, leastSlowdown, largestSlowdown);
    m_slowdownUntil = now + slowdownRetention;
}

void endpoint_speed::expire(time_point now)
{
    m_learned.decay(now);
    if (now >= m_learnedUntil)
        m_learned = {};
}

void endpoint_speed::update(double fallback, time_point now)
{
    m_fallback = fallback;
    expire(now);
    m_rate = withinBounds(withinStep(m_rate, target()));
}

double endpoint_speed::rate(time_point now) const
{
    return now < m_slowdownUntil ? withinBounds(m_rate / m_slowdown) : m_rate;
}

std::uint16_t endpoint_speed::takeReport(time_point now)
{
    m_unreported.decay(now);
    if (m_unreported.weight < leastReportedWeight)
        return 0;
    const auto rate = withinBounds(m_unreported.tokens / m_unreported.weight);
    m_unreported = {};
    return static_cast<std::uint16_t>(std::lround(rate));
}

double endpoint_speed::boundedRate(double rate) const
{
    return std::clamp(rate, m_rate / largestDeviation, m_rate * largestDeviation);
}

void endpoint_speed::learn(double rate, double weight, time_point now)
{
    m_learned.add(rate * weight, weight, now);
    m_learnedUntil = now + learnedRetention;
    const auto wanted = target();
    m_rate = withinBounds(withinStep(m_rate, wanted));
    if (m_rate == wanted)
        return;
    // What exceeds the step is dropped; otherwise the following updates would still apply it.
    const auto total = m_rate * (m_learned.weight + fallbackWeight);
    m_learned.tokens = std::max(total - m_fallback * fallbackWeight, lowestRate * m_learned.weight);
}

double endpoint_speed::target() const
{
    return (m_learned.tokens + m_fallback * fallbackWeight) / (m_learned.weight + fallbackWeight);
}

} // namespace kumquatbeam
