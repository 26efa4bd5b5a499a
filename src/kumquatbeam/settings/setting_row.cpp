#include "kumquatbeam/settings/setting_row.hpp"

#include "kumquatbeam/types/number_text.hpp"

#include <limits>

namespace kumquatbeam {

std::string describeRange(const setting_range& range, std::string_view unit)
{
    return std::to_string(range.lowest) + " to " + std::to_string(range.highest) + " " + std::string(unit);
}

std::string joinNames(std::span<const std::string_view> names)
{
    std::string text;
    for (const auto name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

std::string formatSetting(std::int64_t value)
{
    return std::to_string(value);
}

std::string formatSetting(std::chrono::milliseconds value)
{
    return std::to_string(value.count());
}

std::string formatSetting(const std::string& value)
{
    return value;
}

std::string formatSetting(bool value)
{
    return value ? "yes" : "no";
}

std::optional<failure> parseSetting(std::int64_t& member, const std::string& text, const setting_range& range)
{
    using limits = std::numeric_limits<std::int64_t>;
    const auto number = parseWholeNumber<std::int64_t>(text, { limits::min(), limits::max() });
    if (!number)
        return failure { failure_kind::MalformedValue, "", text, "a whole number" };
    if (*number < range.lowest || *number > range.highest)
        return failure { failure_kind::ValueOutOfRange, "", text };
    member = *number;
    return std::nullopt;
}

std::optional<failure> parseSetting(
    std::chrono::milliseconds& member, const std::string& text, const setting_range& range)
{
    std::int64_t number = 0;
    auto problem = parseSetting(number, text, range);
    if (!problem)
        member = std::chrono::milliseconds(number);
    return problem;
}

std::optional<failure> parseSetting(std::string& member, const std::string& text, const setting_range& range)
{
    const auto length = static_cast<std::int64_t>(text.size());
    if (length < range.lowest || length > range.highest)
        return failure { failure_kind::ValueOutOfRange, "", text };
    member = text;
    return std::nullopt;
}

std::optional<failure> parseSetting(bool& member, const std::string& text, const setting_range&)
{
    if (text != "yes" && text != "no")
        return failure { failure_kind::MalformedValue, "", text, "yes or no" };
    member = text == "yes";
    return std::nullopt;
}

std::string placeOf(const ini_section& section, std::string_view key, int line)
{
    std::string place = "line " + std::to_string(line) + " [" + section.kind;
    if (!section.name.empty())
        place.append(" ").append(section.name);
    return place.append("] ").append(key);
}

} // namespace kumquatbeam
