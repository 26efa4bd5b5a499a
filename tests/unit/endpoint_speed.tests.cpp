#include "kumquatbeam/decisions/placement/endpoint_speed.hpp"
#include "kumquatbeam/decisions/placement/pool_speeds.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { std::chrono::hours(1) };
constexpr double fallback = pool_speeds::defaultRate;

/// A sample of an engine that prefills at a rate, in tokens per millisecond.
prefill_sample sampleAt(double rate, std::int64_t work, clock::duration delay = 0ms)
{
    const std::chrono::duration<double, std::milli> time(static_cast<double>(work) / rate);
    return { { work }, endpoint_speed::baseTime + std::chrono::duration_cast<clock::duration>(time) + delay };
}

/// Feeds samples of one rate at a fixed period, and returns the end of the last one.
time_point feed(endpoint_speed& speed, double rate, int count, time_point from, std::int64_t work = 10'000)
{
    for (int i = 0; i < count; ++i) {
        from += 200ms;
        speed.update(fallback, from);
        speed.recordSample(sampleAt(rate, work), from);
    }
    return from;
}

std::vector<endpoint_view> rowsOf(int count)
{
    std::vector<endpoint_view> rows(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < rows.size(); ++i)
        rows[i] = { .endpoint = { "e" + std::to_string(i) }, .incarnation = 1 };
    return rows;
}

bool isWithin(double value, double expected, double factor)
{
    return value <= expected * factor && value >= expected / factor;
}

} // namespace

TEST_CASE("The estimate follows engines that are faster and slower than the fallback [endpoint_speed]")
{
    // Guards against the fixed rate of 50: it refused calls that engines at 157 could have served in time.
    for (const double rate : { 20.0, 40.0, 110.0, 157.0, 267.0 }) {
        endpoint_speed speed(fallback);
        feed(speed, rate, 40, start);
        CHECK(isWithin(speed.usualRate(), rate, 1.15));
    }
}

TEST_CASE("The estimate stays within its bounds and changes by bounded steps [endpoint_speed]")
{
    for (const double rate : { 0.5, 5000.0 }) {
        endpoint_speed speed(fallback);
        auto now = start;
        for (int i = 0; i < 200; ++i) {
            const auto before = speed.usualRate();
            speed.recordSample(sampleAt(rate, 100'000), now += 200ms);
            CHECK(isWithin(speed.usualRate(), before, endpoint_speed::largestStep * 1.0001));
            CHECK(speed.usualRate() >= endpoint_speed::lowestRate);
            CHECK(speed.usualRate() <= endpoint_speed::highestRate);
        }
    }
}

TEST_CASE("What exceeds a step is not applied later [endpoint_speed]")
{
    endpoint_speed speed(fallback);
    speed.recordSample(sampleAt(400, 1'000'000), start);
    const auto after = speed.usualRate();
    for (int i = 1; i < 10; ++i)
        speed.update(fallback, start + i * 250ms);
    CHECK(speed.usualRate() <= after);
}

TEST_CASE("A late first event after little work hardly changes the estimate [endpoint_speed]")
{
    // In earlier trials the rate fell with late first events, and requests that would still have been useful were
    // rejected.
    endpoint_speed speed(fallback);
    const auto now = feed(speed, 157, 40, start);
    const auto before = speed.usualRate();
    for (int i = 0; i < 5; ++i)
        speed.recordSample(sampleAt(157, 200, 400ms), now + i * 100ms);
    CHECK(isWithin(speed.usualRate(), before, 1.1));
}

TEST_CASE("A sample without work or within the base time says nothing [endpoint_speed]")
{
    endpoint_speed speed(fallback);
    speed.recordSample({ { 0 }, 500ms }, start);
    speed.recordSample({ { 5000 }, endpoint_speed::baseTime }, start);
    speed.recordSample({ { 5000 }, 1ms }, start);
    CHECK(speed.usualRate() == fallback);
    CHECK_FALSE(speed.hasLearned());
}

TEST_CASE("A slow phase does not ruin the estimate [endpoint_speed]")
{
    // Engines are 2.5 times slower for 600 ms at a time.
    endpoint_speed speed(fallback);
    auto now = feed(speed, 150, 40, start);
    const auto before = speed.usualRate();
    for (int i = 0; i < 4; ++i) {
        now += 150ms;
        speed.recordSample(sampleAt(150 / 2.5, 10'000), now);
        speed.update(fallback, now);
    }
    CHECK(isWithin(speed.usualRate(), before, 1.35));
    feed(speed, 150, 10, now);
    CHECK(isWithin(speed.usualRate(), before, 1.15));
}

TEST_CASE("A reported slowdown divides the rate for at most a second and explains a slow sample [endpoint_speed]")
{
    endpoint_speed speed(fallback);
    const auto now = feed(speed, 150, 40, start);
    const auto before = speed.usualRate();
    speed.recordSlowdown(2.5, now);
    CHECK(speed.rate(now) == doctest::Approx(before / 2.5));
    auto slow = sampleAt(150 / 2.5, 10'000);
    slow.slowdown = 2.5;
    speed.recordSample(slow, now);
    CHECK(isWithin(speed.usualRate(), before, 1.02));
    CHECK(speed.rate(now + 1000ms) == speed.usualRate());
    speed.recordSlowdown(1e9, now);
    CHECK(speed.rate(now) >= endpoint_speed::lowestRate);
}

TEST_CASE("Without samples the estimate returns to the fallback after ten seconds [endpoint_speed]")
{
    endpoint_speed speed(fallback);
    auto now = feed(speed, 267, 40, start);
    for (int i = 0; i < 60; ++i)
        speed.update(fallback, now += 250ms);
    CHECK_FALSE(speed.hasLearned());
    CHECK(speed.usualRate() == doctest::Approx(fallback));
}

TEST_CASE("Engines without samples take the mean of the pool's learned engines [endpoint_speed]")
{
    auto rows = rowsOf(3);
    pool_speeds speeds;
    speeds.refresh(rows, 0);
    for (const auto& row : rows)
        CHECK(row.prefillRate == pool_speeds::defaultRate);
    CHECK(speeds.nextUpdate() == never);
    auto now = start;
    for (int i = 0; i < 60; ++i) {
        now += 250ms;
        speeds.recordSample(rows[0], 0, sampleAt(100, 10'000), now);
        speeds.recordSample(rows[1], 1, sampleAt(200, 10'000), now);
        CHECK(speeds.nextUpdate() <= now + pool_speeds::updatePeriod);
        speeds.update(rows, now);
    }
    CHECK(isWithin(rows[0].prefillRate, 100, 1.15));
    CHECK(isWithin(rows[1].prefillRate, 200, 1.15));
    CHECK(rows[2].prefillRate == doctest::Approx((rows[0].prefillRate + rows[1].prefillRate) / 2).epsilon(0.01));
    SUBCASE("Without samples, all return to the default, and updates end")
    {
        while (speeds.nextUpdate() != never && now < start + 1min) {
            now = speeds.nextUpdate();
            speeds.update(rows, now);
        }
        CHECK(speeds.nextUpdate() == never);
        for (const auto& row : rows)
            CHECK(row.prefillRate == doctest::Approx(pool_speeds::defaultRate));
    }
    SUBCASE("A new incarnation starts with the fallback; one that stays keeps its rate")
    {
        const auto kept = rows[1].prefillRate;
        rows[0].incarnation = 2;
        speeds.refresh(rows, 0);
        CHECK(rows[0].prefillRate == doctest::Approx(speeds.fallback()));
        CHECK(rows[1].prefillRate == kept);
        CHECK_FALSE(speeds.at(0).hasLearned());
    }
}

TEST_CASE("Reports from before an incarnation was known do not count for it [endpoint_speed]")
{
    auto rows = rowsOf(1);
    pool_speeds speeds;
    speeds.refresh(rows, 7);
    speeds.recordReport(rows[0], 0, 300, 7, start);
    CHECK(rows[0].prefillRate == pool_speeds::defaultRate);
    speeds.recordReport(rows[0], 0, 300, 8, start);
    const auto once = rows[0].prefillRate;
    CHECK(once > pool_speeds::defaultRate);
    // Each heartbeat of any router leads to another look at the last report.
    speeds.recordReport(rows[0], 0, 300, 8, start);
    CHECK(rows[0].prefillRate == once);
}

TEST_CASE("Log lines on changed rates are bounded [endpoint_speed]")
{
    auto rows = rowsOf(1);
    pool_speeds speeds;
    speeds.refresh(rows, 0);
    auto now = start;
    std::size_t lines = 0;
    for (int i = 0; i < 240; ++i) {
        now += 250ms;
        const double rate = i / 8 % 2 == 0 ? 20 : 300;
        speeds.recordSample(rows[0], 0, sampleAt(rate, 50'000), now);
        lines += speeds.update(rows, now).size();
    }
    CHECK(lines >= 1);
    CHECK(lines <= 7);
}

namespace {

/// Routers that send requests to the same engines and report what they measure to each other once a second.
class fleet_of_estimates {
public:
    fleet_of_estimates(int routers, std::vector<double> rates)
        : m_rates(std::move(rates))
        , m_views(static_cast<std::size_t>(routers), rowsOf(static_cast<int>(m_rates.size())))
        , m_speeds(m_views.size())
        , m_slowUntil(m_rates.size(), time_point::min())
    {
        for (std::size_t i = 0; i < m_speeds.size(); ++i)
            m_speeds[i].refresh(m_views[i], 0);
    }

    /// Runs for a time, in which each router sends one request to each engine in 6 s. With a wrong router, its reports
    /// are replaced by this rate.
    void run(std::chrono::seconds time, std::optional<std::uint16_t> wrongRate = std::nullopt)
    {
        const auto end = now + time;
        for (; now < end; now += 1ms) {
            startSlowPhases();
            for (std::size_t router = 0; router < m_speeds.size(); ++router) {
                const auto elapsed = (now - start) / 1ms + static_cast<std::int64_t>(router) * 83;
                for (std::size_t engine = 0; engine < m_rates.size(); ++engine) {
                    if ((elapsed + static_cast<std::int64_t>(engine) * 1993) % 6000 == 0)
                        sendRequest(router, engine);
                }
                if (elapsed % 1000 == 0)
                    report(router, router == 0 ? wrongRate : std::nullopt);
                if (elapsed % 250 == 0)
                    m_speeds[router].update(m_views[router], now);
            }
        }
    }

    /// Largest factor between any router's estimate of an engine and the engine's rate.
    double largestError() const
    {
        double error = 1;
        for (const auto& rows : m_views) {
            for (std::size_t engine = 0; engine < m_rates.size(); ++engine) {
                const auto factor = rows[engine].prefillRate / m_rates[engine];
                error = std::max({ error, factor, 1 / factor });
            }
        }
        return error;
    }

    time_point now = start;
    /// Part of the time in which an engine is 2.5 times slower.
    double slowPart = 0;

private:
    void startSlowPhases()
    {
        constexpr auto phase = 600ms;
        if ((now - start) % phase != 0ms)
            return;
        for (auto& until : m_slowUntil)
            until = m_uniform(m_random) < slowPart ? now + phase : time_point::min();
    }

    void sendRequest(std::size_t router, std::size_t engine)
    {
        const auto rate = m_rates[engine] / (now < m_slowUntil[engine] ? 2.5 : 1.0);
        const auto work = 2000 + static_cast<std::int64_t>(m_uniform(m_random) * 14'000);
        const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(m_uniform(m_random) * 20) - 10);
        m_speeds[router].recordSample(m_views[router][engine], engine, sampleAt(rate, work, delay), now);
    }

    void report(std::size_t router, std::optional<std::uint16_t> wrongRate)
    {
        for (std::size_t engine = 0; engine < m_rates.size(); ++engine) {
            const auto rate = wrongRate.value_or(m_speeds[router].takeReport(engine, now));
            if (rate == 0)
                continue;
            ++m_reports;
            for (std::size_t other = 0; other < m_speeds.size(); ++other) {
                if (other != router)
                    m_speeds[other].recordReport(m_views[other][engine], engine, rate, m_reports, now);
            }
        }
    }

    std::vector<double> m_rates;
    std::vector<std::vector<endpoint_view>> m_views;
    std::vector<pool_speeds> m_speeds;
    std::vector<time_point> m_slowUntil;
    std::uint64_t m_reports = 0;
    std::mt19937 m_random { 5 };
    std::uniform_real_distribution<double> m_uniform { 0, 1 };
};

/// Nominal rates of engines of two deployments, in tokens per millisecond.
constexpr std::array nominalRates { 56.6, 157.0 };

fleet_of_estimates largeFleet(double nominalRate)
{
    return { 72, { 0.7 * nominalRate, 0.7 * nominalRate, 1.7 * nominalRate } };
}

} // namespace

TEST_CASE("72 routers with few requests each agree on the rates of uneven engines [endpoint_speed]")
{
    // A router alone sends an engine one request in 6 s, which is too few to learn from.
    for (const double rate : nominalRates) {
        auto fleet = largeFleet(rate);
        fleet.run(12s);
        CHECK(fleet.largestError() < 1.25);
    }
}

TEST_CASE("72 routers agree on the rates of engines that are slow for 600 ms at a time [endpoint_speed]")
{
    for (const double rate : nominalRates) {
        auto fleet = largeFleet(rate);
        fleet.slowPart = 0.15;
        fleet.run(20s);
        CHECK(fleet.largestError() < 1.5);
    }
}

TEST_CASE("A router that always reports a wrong rate misleads by a bounded factor [endpoint_speed]")
{
    for (const double rate : nominalRates) {
        for (const std::uint16_t wrong : { std::uint16_t { 1 }, std::uint16_t { 65'535 } }) {
            auto fleet = largeFleet(rate);
            fleet.run(12s, wrong);
            CHECK(fleet.largestError() < 1.3);
        }
    }
}

TEST_CASE("One wrong report changes the estimate by a bounded factor [endpoint_speed]")
{
    // The weight of a report against that of the fallback bounds its effect where nothing else is known.
    constexpr double weight
        = endpoint_speed::reportWeight / (endpoint_speed::reportWeight + endpoint_speed::fallbackWeight);
    constexpr double bound = 1 + weight * (endpoint_speed::largestDeviation - 1);
    for (const double wrong : { 0.0, 65'535.0 }) {
        endpoint_speed speed(fallback);
        speed.recordReport(wrong, start);
        CHECK(isWithin(speed.usualRate(), fallback, bound * 1.0001));
        speed.update(fallback, start + endpoint_speed::learnedRetention);
        CHECK(speed.usualRate() == doctest::Approx(fallback));
    }
}

TEST_CASE("A router reports only what it has measured itself [endpoint_speed]")
{
    // Reports that come back would keep an outdated rate alive.
    endpoint_speed speed(fallback);
    for (int i = 0; i < 50; ++i)
        speed.recordReport(200, start + i * 10ms);
    CHECK(speed.takeReport(start + 1s) == 0);
    speed.recordSample(sampleAt(80, 12'000), start + 1s);
    CHECK(speed.takeReport(start + 1s) == 80);
    CHECK(speed.takeReport(start + 1s) == 0);
    speed.recordSample(sampleAt(80, 12'000), start + 1s);
    CHECK(speed.takeReport(start + 1min) == 0);
}

TEST_CASE("A report of another router has less weight than an own sample [endpoint_speed]")
{
    endpoint_speed own(fallback);
    own.recordSample(sampleAt(75, 10'000), start);
    endpoint_speed reported(fallback);
    reported.recordReport(75, start);
    CHECK(reported.usualRate() > fallback);
    CHECK(reported.usualRate() < own.usualRate());
}
