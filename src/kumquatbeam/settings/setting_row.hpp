#pragma once

#include "kumquatbeam/settings/ini_text.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/strong_value.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace kumquatbeam {

/// Smallest and largest value allowed; texts are bounded by their length.
struct setting_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// One row of a settings table: the key, its unit and range, and how its text is parsed into a member of the record.
template <typename Record> struct setting_row {
    std::string_view key;
    std::string_view unit;
    setting_range range;
    bool isRequired;
    std::string_view meaning;
    std::optional<failure> (*parse)(Record&, const std::string& text, const setting_range&);
    /// Formats the member's value as in a settings file.
    std::string (*format)(const Record&);
    /// Describes the allowed values, for error messages and reference pages.
    std::string (*describeAllowed)(const setting_range&, std::string_view unit);
    /// Kinds of failure that `parse` may return.
    std::span<const failure_kind> errors;
};

/// A value of an enumeration and its name in settings.
template <typename Value> struct setting_choice {
    std::string_view name;
    Value value;
};

/// Describes a range of numbers or lengths.
std::string describeRange(const setting_range&, std::string_view unit);

/// Joins names with commas.
std::string joinNames(std::span<const std::string_view> names);

/// @{ Parse functions for the supported member types. They leave the member unchanged on failure.
std::optional<failure> parseSetting(std::int64_t&, const std::string& text, const setting_range&);
std::optional<failure> parseSetting(std::chrono::milliseconds&, const std::string& text, const setting_range&);
std::optional<failure> parseSetting(std::string&, const std::string& text, const setting_range&);
std::optional<failure> parseSetting(bool&, const std::string& text, const setting_range&);

template <typename Tag, typename Value>
std::optional<failure> parseSetting(
    strong_value<Tag, Value>& member, const std::string& text, const setting_range& range)
{
    return parseSetting(member.value, text, range);
}

template <typename Tag, typename Value>
std::optional<failure> parseSetting(
    strong_quantity<Tag, Value>& member, const std::string& text, const setting_range& range)
{
    std::int64_t number = 0;
    auto problem = parseSetting(number, text, range);
    if (!problem)
        member.value = static_cast<Value>(number);
    return problem;
}

/// An enumeration provides the names of its values through an overload of `settingChoices`.
template <typename Value>
requires std::is_enum_v<Value> std::optional<failure> parseSetting(
    Value& member, const std::string& text, const setting_range&)
{
    for (const auto& choice : settingChoices(Value {})) {
        if (choice.name != text)
            continue;
        member = choice.value;
        return std::nullopt;
    }
    return failure { failure_kind::ValueOutOfRange, "", text };
}
/// @}

/// @{ Formats a value as `parseSetting` accepts it.
std::string formatSetting(std::int64_t);
std::string formatSetting(std::chrono::milliseconds);
std::string formatSetting(const std::string&);
std::string formatSetting(bool);

template <typename Tag, typename Value> std::string formatSetting(const strong_value<Tag, Value>& member)
{
    return formatSetting(member.value);
}

template <typename Tag, typename Value> std::string formatSetting(const strong_quantity<Tag, Value>& member)
{
    return formatSetting(static_cast<std::int64_t>(member.value));
}

template <typename Value>
requires std::is_enum_v<Value> std::string formatSetting(Value member)
{
    for (const auto& choice : settingChoices(member)) {
        if (choice.value == member)
            return std::string(choice.name);
    }
    return {};
}
/// @}

/// Describes the values that a member of this type allows.
template <typename Value> std::string describeAllowed(const setting_range& range, std::string_view unit)
{
    if constexpr (std::is_same_v<Value, bool>) {
        return "yes or no";
    } else if constexpr (std::is_enum_v<Value>) {
        std::vector<std::string_view> names;
        for (const auto& choice : settingChoices(Value {}))
            names.push_back(choice.name);
        return joinNames(names);
    } else {
        return describeRange(range, unit);
    }
}

/// @{ Kinds of failure that parsing a member of this type may return.
inline constexpr std::array numberErrors { failure_kind::MalformedValue, failure_kind::ValueOutOfRange };
inline constexpr std::array textErrors { failure_kind::ValueOutOfRange };
inline constexpr std::array flagErrors { failure_kind::MalformedValue };

/// A type whose settings are text: a string, a strong value over a string, or an enumeration.
template <typename Value>
concept text_setting = std::is_enum_v<Value> || std::is_convertible_v<Value, std::string_view> || requires
{
    requires std::is_convertible_v<decltype(Value::value), std::string_view>;
};

template <typename Value> constexpr std::span<const failure_kind> errorsOf()
{
    if constexpr (std::is_same_v<Value, bool>)
        return flagErrors;
    else if constexpr (text_setting<Value>)
        return textErrors;
    else
        return numberErrors;
}
/// @}

template <typename Member> struct member_record;

template <typename Record, typename Value> struct member_record<Value Record::*> {
    using type = Record;
    using value = Value;
};

/// Properties of a row other than its member.
struct setting_traits {
    std::string_view key;
    std::string_view unit;
    setting_range range;
    bool isRequired = false;
    std::string_view meaning;
};

/// Creates the row for `Member`.
template <auto Member> constexpr auto settingRow(const setting_traits& traits)
{
    using record = typename member_record<decltype(Member)>::type;
    using value = typename member_record<decltype(Member)>::value;
    return setting_row<record> { traits.key, traits.unit, traits.range, traits.isRequired, traits.meaning,
        [](record& target, const std::string& text, const setting_range& range) {
            return parseSetting(target.*Member, text, range);
        },
        [](const record& source) { return formatSetting(source.*Member); }, describeAllowed<value>, errorsOf<value>() };
}

/// Location of a setting for error messages: line, section and key.
std::string placeOf(const ini_section&, std::string_view key, int line);

/// Fills a record from a section according to its table. Appends every failure to `faults`; the affected members keep
/// their defaults.
template <typename Record>
void fillRecord(Record& record, std::span<const setting_row<Record>> table, const ini_section& section,
    std::vector<failure>& faults)
{
    for (const auto& entry : section.entries) {
        const setting_row<Record>* found = nullptr;
        for (const auto& row : table) {
            if (row.key == entry.key)
                found = &row;
        }
        if (!found) {
            faults.push_back({ failure_kind::UnknownSetting, placeOf(section, entry.key, entry.line) });
            continue;
        }
        if (auto problem = found->parse(record, entry.value, found->range)) {
            problem->place = placeOf(section, entry.key, entry.line);
            if (problem->kind == failure_kind::ValueOutOfRange)
                problem->allowed = found->describeAllowed(found->range, found->unit);
            faults.push_back(std::move(*problem));
        }
    }
    for (const auto& row : table) {
        const bool isPresent = [&] {
            for (const auto& entry : section.entries) {
                if (entry.key == row.key)
                    return true;
            }
            return false;
        }();
        if (row.isRequired && !isPresent)
            faults.push_back({ failure_kind::MissingSetting, placeOf(section, row.key, section.line) });
    }
}

} // namespace kumquatbeam
