#include "kumquatbeam/load/load_mix.hpp"

#include "kumquatbeam/settings/setting_row.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    constexpr setting_range nameLength { 1, 64 };
    constexpr setting_range countRange { 0, 1'000'000 };
    constexpr setting_range percentRange { 0, 100 };
    constexpr setting_range timeRange { 0, 3'600'000 };

    constexpr auto streamRows = std::to_array<setting_row<load_stream>>({
        settingRow<&load_stream::account>({ "account", "characters", nameLength, true, "client account" }),
        settingRow<&load_stream::credential>(
            { "credential", "characters", { 1, 256 }, true, "the account's credential" }),
        settingRow<&load_stream::pool>({ "pool", "characters", nameLength, true, "pool to call" }),
        settingRow<&load_stream::kind>({ "kind", "characters", nameLength, false, "model or booking" }),
        settingRow<&load_stream::urgencyName>({ "urgency", "characters", nameLength, false, "low, normal or high" }),
        settingRow<&load_stream::perMinute>(
            { "per-minute", "calls", countRange, false, "open loop: calls per minute" }),
        settingRow<&load_stream::outstanding>(
            { "outstanding", "calls", countRange, false, "closed loop: calls kept in flight" }),
        settingRow<&load_stream::tokensLow>(
            { "tokens-low", "tokens", { 1, 100'000 }, false, "minimum tokens of an answer" }),
        settingRow<&load_stream::tokensHigh>(
            { "tokens-high", "tokens", { 1, 100'000 }, false, "maximum tokens of an answer" }),
        settingRow<&load_stream::pace>({ "pace-ms", "ms", timeRange, false, "time per token or order" }),
        settingRow<&load_stream::deadline>({ "deadline-ms", "ms", timeRange, false, "deadline of each call" }),
        settingRow<&load_stream::retries>({ "retries", "attempts", { 0, 100 }, false, "retries of an order" }),
        settingRow<&load_stream::repeatPercent>(
            { "ask-again-percent", "percent", percentRange, false, "answered orders that are requested again" }),
        settingRow<&load_stream::abandonPercent>(
            { "leave-percent", "percent", percentRange, false, "attempts at orders that the caller abandons" }),
        settingRow<&load_stream::abandonAfter>(
            { "leave-after-ms", "ms", { 1, 3'600'000 }, false, "longest time before an attempt is abandoned" }),
        settingRow<&load_stream::routers>({ "routers", "characters", { 0, 256 }, false, "indices in the target list" }),
        settingRow<&load_stream::startsAfter>({ "starts-after-ms", "ms", timeRange, false, "start within the run" }),
        settingRow<&load_stream::endsAfter>({ "ends-after-ms", "ms", timeRange, false, "end within the run" }),
    });

} // namespace

load_mix parseLoadMix(const std::string& text)
{
    load_mix mix;
    const auto ini = parseIni(text);
    if (!ini.ok()) {
        mix.faults.push_back(failureOf(ini.status()).value_or(failure { failure_kind::SyntaxError }));
        return mix;
    }
    for (const auto& section : ini->sections) {
        if (section.kind != "stream") {
            mix.faults.push_back(
                { failure_kind::UnknownSection, placeOf(section, "", section.line), section.kind, "stream" });
            continue;
        }
        load_stream stream { .name = section.name };
        fillRecord<load_stream>(stream, streamRows, section, mix.faults);
        mix.streams.push_back(std::move(stream));
    }
    return mix;
}

} // namespace kumquatbeam
