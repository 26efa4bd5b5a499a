#include "kumquatbeam/settings/router_settings.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    constexpr setting_range nameLength { 1, 64 };
    constexpr setting_range portRange { 1, 65535 };

    constexpr auto routerRows = std::to_array<setting_row<router_settings>>({
        settingRow<&router_settings::self>({ "entry-vm", "characters", nameLength, true, "name of this entry VM" }),
        settingRow<&router_settings::domain>(
            { "domain", "characters", nameLength, true, "failure domain of this entry VM" }),
        settingRow<&router_settings::sourceAddress>(
            { "source-address", "characters", { 0, 64 }, false, "IP address to connect from" }),
        settingRow<&router_settings::callerAddress>(
            { "caller-address", "characters", nameLength, false, "IP address for callers" }),
        settingRow<&router_settings::callerPort>({ "caller-port", "port", portRange, true, "TCP port for callers" }),
        settingRow<&router_settings::peerAddress>(
            { "peer-address", "characters", nameLength, false, "IP address for peers" }),
        settingRow<&router_settings::peerPort>({ "peer-port", "port", portRange, true, "TCP port for peers" }),
        settingRow<&router_settings::operatorAddress>(
            { "operator-address", "characters", nameLength, false, "IP address for operators" }),
        settingRow<&router_settings::operatorPort>(
            { "operator-port", "port", portRange, true, "TCP port for operators" }),
        settingRow<&router_settings::platformAddress>(
            { "platform-address", "characters", nameLength, false, "IP address of the platform" }),
        settingRow<&router_settings::platformPort>(
            { "platform-port", "port", portRange, true, "TCP port of the platform" }),
        settingRow<&router_settings::strategy>(
            { "strategy", "characters", nameLength, false, "how slots are divided between routers" }),
        settingRow<&router_settings::requestLimit>(
            { "request-limit", "requests", { 1, 1'000'000 }, false, "concurrent requests in the router" }),
        settingRow<&router_settings::bodyLimit>(
            { "body-limit", "bytes", { 1, 1'073'741'824 }, false, "largest request body, and largest stored reply" }),
        settingRow<&router_settings::answerMemoryLimit>({ "answer-memory", "bytes", { 1'048'576, 1'099'511'627'776 },
            false, "memory for incomplete answers of endpoints, over all calls" }),
        settingRow<&router_settings::requestMemoryLimit>({ "request-memory", "bytes", { 1'048'576, 1'099'511'627'776 },
            false, "memory for callers' requests and unread replies, over all callers" }),
        settingRow<&router_settings::drainNotice>(
            { "drain-notice-ms", "ms", { 0, 600'000 }, false, "time for the load balancer to notice a shutdown" }),
        settingRow<&router_settings::drainLimit>(
            { "drain-limit-ms", "ms", { 0, 3'600'000 }, false, "longest wait for calls in progress" }),
        settingRow<&router_settings::logLevel>({ "log-level", "name", {}, false, "lowest severity that is logged" }),
        settingRow<&router_settings::logRate>({ "log-rate", "lines a second", { 1, 1'000'000 }, false,
            "log lines above this rate are dropped and counted" }),
    });

    constexpr auto logLevels = std::to_array<setting_choice<log_level>>({
        { "debug", log_level::Debug },
        { "info", log_level::Info },
        { "warning", log_level::Warning },
        { "error", log_level::Error },
    });

    void checkStrategy(const router_settings& settings, const ini_section& section,
        std::span<const std::string_view> strategies, std::vector<failure>& faults)
    {
        if (strategies.empty()
            || std::find(strategies.begin(), strategies.end(), settings.strategy) != strategies.end())
            return;
        for (const auto& entry : section.entries) {
            if (entry.key == "strategy")
                faults.push_back({ failure_kind::ValueOutOfRange, placeOf(section, entry.key, entry.line), entry.value,
                    joinNames(strategies) });
        }
    }

} // namespace

std::span<const setting_row<router_settings>> routerSettingsTable()
{
    return routerRows;
}

std::span<const setting_choice<log_level>> settingChoices(log_level)
{
    return logLevels;
}

namespace {

    void addInitialPeer(router_settings& settings, const ini_section& section, std::vector<failure>& faults)
    {
        entry_vm peer { .id = { section.name }, .domain = {}, .address = {} };
        if (section.name.empty())
            faults.push_back({ failure_kind::MissingSetting, placeOf(section, "name", section.line) });
        fillRecord(peer, entryVmTable(), section, faults);
        settings.initialPeers.push_back(std::move(peer));
    }

} // namespace

absl::StatusOr<router_settings> parseRouterSettings(
    const std::string& text, std::vector<failure>& faults, std::span<const std::string_view> strategies)
{
    const auto ini = parseIni(text);
    if (!ini.ok()) {
        faults.push_back(failureOf(ini.status()).value_or(failure { failure_kind::SyntaxError }));
        return ini.status();
    }
    router_settings settings;
    bool hasRouterSection = false;
    for (const auto& section : ini->sections) {
        if (section.kind == "peer") {
            addInitialPeer(settings, section, faults);
            continue;
        }
        if (section.kind != "router") {
            faults.push_back(
                { failure_kind::UnknownSection, placeOf(section, "", section.line), section.kind, "router, peer" });
            continue;
        }
        hasRouterSection = true;
        fillRecord(settings, routerSettingsTable(), section, faults);
        checkStrategy(settings, section, strategies, faults);
    }
    if (!hasRouterSection)
        faults.push_back({ failure_kind::MissingSetting, "[router]" });
    if (!faults.empty())
        return toStatus(faults.front());
    return settings;
}

} // namespace kumquatbeam
