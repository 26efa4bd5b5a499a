#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace kumquatbeam {

/// Inclusive range of the values that a number from outside may have.
template <typename Number> struct number_range {
    Number lowest;
    Number highest;

    bool contains(Number value) const { return value >= lowest && value <= highest; }
};

inline constexpr int decimalBase = 10;

/// Parses a whole number that fills the text and lies in the range. Spaces, a plus sign, fractions and exponents are
/// refused, and a value is never narrowed or wrapped.
template <typename Number>
std::optional<Number> parseWholeNumber(std::string_view text, number_range<Number> range, int base = decimalBase)
{
    Number number {};
    const auto* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc {} || rest != end || !range.contains(number))
        return std::nullopt;
    return number;
}

/// Converts a floating-point number to the whole number below it, or to nothing if it is not finite or out of the
/// range. The bounds must be exact as `double`, so below 2^53.
inline std::optional<std::int64_t> toWholeNumber(double value, number_range<std::int64_t> range)
{
    if (!std::isfinite(value) || value < static_cast<double>(range.lowest)
        || value > static_cast<double>(range.highest))
        return std::nullopt;
    return static_cast<std::int64_t>(std::floor(value));
}

/// Port numbers that can be connected to.
inline constexpr number_range<std::int64_t> portRange { 1, 65'535 };

} // namespace kumquatbeam
