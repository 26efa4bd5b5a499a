#include "kumquatbeam/decisions/fair_division.hpp"

#include <doctest/doctest.h>

#include <numeric>

using namespace kumquatbeam;

TEST_CASE("Slots are divided by share, and unused slots go to the other accounts by share [fair_division]")
{
    const auto parts = waterFill({ { 4000, 100 }, { 2000, 100 }, { 1000, 1 }, { 1000, 0 } }, 13);
    CHECK(parts[0] == doctest::Approx(8));
    CHECK(parts[1] == doctest::Approx(4));
    CHECK(parts[2] == doctest::Approx(1));
    CHECK(parts[3] == doctest::Approx(0));
}

TEST_CASE("No account gets more than its demand, and slots stay free only when no demand is left [fair_division]")
{
    const auto parts = divideSlots({ { 1000, 2, 50 }, { 1000, 3, -50 } }, 10);
    CHECK(parts[0] == doctest::Approx(2));
    CHECK(parts[1] == doctest::Approx(3));
}

TEST_CASE("A deficit moves slots from accounts with more service to accounts with less [fair_division]")
{
    const auto parts = divideSlots({ { 1000, 100, 2 }, { 1000, 100, -2 } }, 10);
    CHECK(parts[0] == doctest::Approx(7));
    CHECK(parts[1] == doctest::Approx(3));
}

TEST_CASE("However small the share, a large enough deficit outweighs every other claim [fair_division]")
{
    const auto parts = divideSlots({ { 1'000'000, 100, -1 }, { 1, 100, 1 } }, 10);
    CHECK(parts[1] >= 1);
}

TEST_CASE("Rounding gives whole slots with the right sum, and retains existing slots on a tie [fair_division]")
{
    const auto rounded = roundToSlots({ 2.5, 2.5, 5.0 }, { 0, 3, 5 }, 10);
    CHECK(std::accumulate(rounded.begin(), rounded.end(), 0) == 10);
    CHECK(rounded[1] == 3);
    CHECK(rounded[2] == 5);
}
