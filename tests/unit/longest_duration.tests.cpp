#include "kumquatbeam/decisions/longest_duration.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using namespace std::chrono_literals;

TEST_CASE("The longest recent duration is remembered for one window and forgotten after two [longest_duration]")
{
    longest_duration longest;
    const time_point start { 1h };
    CHECK(longest.value(start) == 0ms);
    longest.record(700ms, start);
    longest.record(300ms, start + 1s);
    CHECK(longest.value(start + 1s) == 700ms);
    CHECK(longest.value(start + 59s) == 700ms);
    longest.record(200ms, start + 40s);
    CHECK(longest.value(start + 40s) == 700ms);
    CHECK(longest.value(start + 70s) == 200ms);
    CHECK(longest.value(start + 100s) == 0ms);
    longest.record(100ms, start + 200s);
    CHECK(longest.value(start + 200s) == 100ms);
}
