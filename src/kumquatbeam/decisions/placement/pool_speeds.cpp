#include "kumquatbeam/decisions/placement/pool_speeds.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

void pool_speeds::refresh(std::span<endpoint_view> rows, std::uint64_t lastReport)
{
    auto old = std::exchange(m_speeds, {});
    m_speeds.reserve(rows.size());
    for (auto& view : rows) {
        const auto before = std::find_if(old.begin(), old.end(),
            [&](const row& known) { return known.endpoint == view.endpoint && known.incarnation == view.incarnation; });
        if (before != old.end()) {
            m_speeds.push_back(std::move(*before));
            continue;
        }
        m_speeds.push_back({ .endpoint = view.endpoint,
            .incarnation = view.incarnation,
            .speed = endpoint_speed(m_fallback),
            .lastReport = lastReport,
            .loggedRate = m_fallback });
        view.prefillRate = m_fallback;
    }
}

void pool_speeds::recordSample(endpoint_view& view, std::size_t index, const prefill_sample& sample, time_point now)
{
    auto& speed = m_speeds[index].speed;
    speed.recordSample(sample, now);
    view.prefillRate = speed.rate(now);
    scheduleUpdate(now + updatePeriod);
}

void pool_speeds::recordSlowdown(endpoint_view& view, std::size_t index, double slowdown, time_point now)
{
    auto& speed = m_speeds[index].speed;
    speed.recordSlowdown(slowdown, now);
    view.prefillRate = speed.rate(now);
    scheduleUpdate(speed.slowdownUntil());
}

void pool_speeds::recordReport(
    endpoint_view& view, std::size_t index, double rate, std::uint64_t number, time_point now)
{
    auto& known = m_speeds[index];
    if (number <= known.lastReport)
        return;
    known.lastReport = number;
    known.speed.recordReport(rate, now);
    view.prefillRate = known.speed.rate(now);
    scheduleUpdate(now + updatePeriod);
}

std::vector<speed_change> pool_speeds::update(std::span<endpoint_view> rows, time_point now)
{
    std::vector<speed_change> changes;
    m_nextUpdate = never;
    // An expired estimate must not be part of the fallback to which it returns.
    for (auto& known : m_speeds)
        known.speed.expire(now);
    updateFallback();
    for (std::size_t i = 0; i < rows.size(); ++i) {
        auto& known = m_speeds[i];
        auto& speed = known.speed;
        speed.update(m_fallback, now);
        rows[i].prefillRate = speed.rate(now);
        if (now < speed.slowdownUntil())
            scheduleUpdate(speed.slowdownUntil());
        if (speed.hasLearned() || speed.usualRate() != m_fallback)
            scheduleUpdate(now + updatePeriod);
        const auto factor = speed.usualRate() / known.loggedRate;
        if (now < known.logAgainAt || (factor < loggedFactor && factor > 1 / loggedFactor))
            continue;
        changes.push_back({ known.endpoint, known.loggedRate, speed.usualRate() });
        known.loggedRate = speed.usualRate();
        known.logAgainAt = now + logPeriod;
    }
    return changes;
}

void pool_speeds::updateFallback()
{
    double sum = 0;
    int count = 0;
    for (const auto& known : m_speeds) {
        if (!known.speed.hasLearned())
            continue;
        sum += known.speed.usualRate();
        ++count;
    }
    m_fallback = count > 0 ? sum / count : defaultRate;
}

} // namespace kumquatbeam
