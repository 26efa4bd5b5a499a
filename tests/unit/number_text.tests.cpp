#include "kumquatbeam/types/number_text.hpp"
#include "kumquatbeam/types/excerpt.hpp"

#include <doctest/doctest.h>

#include <limits>

using namespace kumquatbeam;

TEST_CASE("A number fills its text and lies in its range, or is refused [number_text]")
{
    constexpr number_range<std::int32_t> range { -5, 100 };
    CHECK(parseWholeNumber("100", range) == 100);
    CHECK(parseWholeNumber("-5", range) == -5);
    for (const char* text : { "", "101", "-6", "+1", " 1", "1 ", "1.0", "1e1", "0x1", "4294967300", "5000000000",
             "99999999999999999999999", "-", "one" })
        CHECK_FALSE(parseWholeNumber(std::string_view(text), range));
    CHECK(parseWholeNumber<std::uint64_t>("ff", { 0, 255 }, 16) == 255);
    CHECK_FALSE(parseWholeNumber<std::uint64_t>("-1", { 0, std::numeric_limits<std::uint64_t>::max() }));
}

TEST_CASE("A floating-point number outside of the range is refused before it is narrowed [number_text]")
{
    constexpr number_range<std::int64_t> range { 0, 1000 };
    CHECK(toWholeNumber(999.9, range) == 999);
    CHECK(toWholeNumber(1000, range) == 1000);
    for (const double value : { -0.1, 1000.5, 1e30, -1e30, std::numeric_limits<double>::infinity(),
             std::numeric_limits<double>::quiet_NaN() })
        CHECK_FALSE(toWholeNumber(value, range));
}

TEST_CASE("An excerpt is printable and short, whatever the text [excerpt]")
{
    CHECK(excerptOf("a\nb\x7f\"c") == "a.b..c");
    CHECK(excerptOf(std::string(1000, 'x')).size() <= excerptLimit + 3);
    CHECK(isHeaderSafe("i-7f3a"));
    CHECK_FALSE(isHeaderSafe("i\r\nX: y"));
}
