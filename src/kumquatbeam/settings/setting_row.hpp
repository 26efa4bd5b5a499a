#pragma once

#include "kumquatbeam/settings/ini_text.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/strong_value.hpp"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// Smallest and largest value allowed; texts are bounded by their length.
struct setting_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// One row of a settings table: the key, its unit and range, and how its text gets into a member of the record.
template <typename Record> struct setting_row {
    std::string_view key;
    std::string_view unit;
    setting_range range;
    bool isRequired;
    std::string_view meaning;
    std::optional<failure> (*parse)(Record&, const std::string& text, const setting_range&);
};

/// Text of the range for an error or a reference page.
std::string describeRange(const setting_range&, std::string_view unit);

/// @{ Parse functions for the kinds of member that a record may have. They leave the member alone on failure.
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
/// @}

template <typename Member> struct member_record;

template <typename Record, typename Value> struct member_record<Value Record::*> {
    using type = Record;
};

/// What a row says beside its member.
struct setting_traits {
    std::string_view key;
    std::string_view unit;
    setting_range range;
    bool isRequired = false;
    std::string_view meaning;
};

/// Makes the row that fills `Member`.
template <auto Member> constexpr auto settingRow(const setting_traits& traits)
{
    using record = typename member_record<decltype(Member)>::type;
    return setting_row<record> { traits.key, traits.unit, traits.range, traits.isRequired, traits.meaning,
        [](record& target, const std::string& text, const setting_range& range) {
            return parseSetting(target.*Member, text, range);
        } };
}

/// Where a setting stands, for an error: section, key and line.
std::string placeOf(const ini_section&, std::string_view key, int line);

/// Fills a record from a section by its table. Every fault is appended; the record keeps its defaults there.
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
                problem->allowed = describeRange(found->range, found->unit);
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
