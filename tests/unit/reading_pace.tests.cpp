#include "kumquatbeam/decisions/placement/reading_pace.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

namespace {

constexpr time_point start { std::chrono::hours(1) };
constexpr std::chrono::milliseconds idle { 100 };

/// Answers of a pool that gets through this many tokens a millisecond, one each ten milliseconds.
void answer(reading_pace& pace, double tokensPerMillisecond, time_point& now, std::chrono::seconds span)
{
    constexpr std::chrono::milliseconds step { 10 };
    for (const auto end = now + span; now < end; now += step) {
        pace.record({ 0 }, idle, now);
        pace.record({ 6000 }, idle + std::chrono::milliseconds(static_cast<int>(6000 / tokensPerMillisecond)), now);
    }
}

} // namespace

TEST_CASE("Before any answer the assumed rate holds [placement]")
{
    CHECK(reading_pace {}.rate() == doctest::Approx(reading_pace::assumedRate));
}

TEST_CASE("The rate follows the time that answers take beyond an idle engine's [placement]")
{
    reading_pace pace;
    auto now = start;
    answer(pace, 75, now, std::chrono::seconds(4));
    CHECK(pace.rate() == doctest::Approx(75).epsilon(0.1));
    answer(pace, 25, now, std::chrono::seconds(6));
    CHECK(pace.rate() == doctest::Approx(25).epsilon(0.1));
}

TEST_CASE("No run of answers takes the rate out of its bounds [placement]")
{
    reading_pace pace;
    auto now = start;
    answer(pace, 0.5, now, std::chrono::seconds(4));
    CHECK(pace.rate() == reading_pace::slowestRate);
    for (int count = 0; count < 10'000; ++count)
        pace.record({ 20'000 }, idle, now);
    CHECK(pace.rate() == reading_pace::fastestRate);
}

TEST_CASE("A slower pace of the idle engine is taken over after a time [placement]")
{
    reading_pace pace;
    auto now = start;
    pace.record({ 0 }, std::chrono::milliseconds(20), now);
    now += std::chrono::seconds(12);
    answer(pace, 60, now, std::chrono::seconds(12));
    CHECK(pace.rate() == doctest::Approx(60).epsilon(0.1));
}
