#include "kumquatbeam/settings/fleet_document.hpp"

#include "kumquatbeam/settings/document_checks.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    constexpr setting_range nameLength { 1, 64 };
    constexpr setting_range digestLength { 64, 64 };
    constexpr setting_range flag { 0, 1 };
    constexpr setting_range portRange { 1, 65535 };

    constexpr auto accountRows = std::to_array<setting_row<client_account>>({
        settingRow<&client_account::owner>({ "owner", "characters", nameLength, true, "team that owns the section" }),
        settingRow<&client_account::share>(
            { "share", "thousandths", { 1, 1'000'000'000 }, true, "weight of the account" }),
        settingRow<&client_account::credentialDigest>(
            { "credential-sha256", "hexadecimal digits", digestLength, true, "digest of the credential" }),
        settingRow<&client_account::queueLimit>(
            { "queue-limit", "requests", { 1, 100'000 }, false, "requests that may wait in one router" }),
        settingRow<&client_account::ticketLimit>(
            { "ticket-limit", "tickets", { 1, 1'000'000 }, false, "open order tickets in one router" }),
    });

    constexpr auto poolRows = std::to_array<setting_row<endpoint_pool>>({
        settingRow<&endpoint_pool::owner>({ "owner", "characters", nameLength, true, "team that owns the section" }),
        settingRow<&endpoint_pool::isRepeatable>(
            { "repeatable", "yes or no", flag, true, "whether sent write calls may be retried" }),
        settingRow<&endpoint_pool::canResume>(
            { "resume", "yes or no", flag, false, "whether interrupted answers resume by offset" }),
        settingRow<&endpoint_pool::timeout>(
            { "timeout-ms", "ms", { 1, 3'600'000 }, false, "timeout of a call without a deadline" }),
        settingRow<&endpoint_pool::exchangePeriod>(
            { "beat-ms", "ms", { 5, 60'000 }, false, "period of the slot exchange" }),
        settingRow<&endpoint_pool::leaseDuration>(
            { "lease-ms", "ms", { 20, 600'000 }, false, "duration of a slot lease" }),
    });

    constexpr auto endpointRows = std::to_array<setting_row<endpoint_description>>({
        settingRow<&endpoint_description::owner>(
            { "owner", "characters", nameLength, true, "team that owns the section" }),
        settingRow<&endpoint_description::pool>(
            { "pool", "characters", nameLength, true, "pool that the endpoint serves" }),
        settingRow<&endpoint_description::domain>(
            { "domain", "characters", nameLength, true, "failure domain of the endpoint" }),
        settingRow<&endpoint_description::address>({ "address", "characters", { 1, 64 }, true, "IP address" }),
        settingRow<&endpoint_description::port>({ "port", "port", portRange, true, "TCP port" }),
        settingRow<&endpoint_description::slots>({ "slots", "calls", { 1, 4096 }, true, "concurrent calls" }),
        settingRow<&endpoint_description::checksFencing>(
            { "checks-fencing", "yes or no", flag, false, "whether it refuses outdated fencing numbers" }),
    });

    template <typename Record, typename Id>
    void addRecord(std::map<Id, Record>& records, std::span<const setting_row<Record>> table,
        const ini_section& section, std::vector<failure>& faults)
    {
        Record record;
        record.id = Id { section.name };
        if (section.name.empty())
            faults.push_back({ failure_kind::MissingSetting, placeOf(section, "name", section.line) });
        fillRecord(record, table, section, faults);
        if (!records.try_emplace(record.id, record).second)
            faults.push_back({ failure_kind::DuplicateName, placeOf(section, "", section.line), section.name });
    }

    void addSection(fleet_document& document, const ini_section& section, std::vector<failure>& faults)
    {
        if (section.kind == "account")
            addRecord(document.accounts, clientAccountTable(), section, faults);
        else if (section.kind == "pool")
            addRecord(document.pools, endpointPoolTable(), section, faults);
        else if (section.kind == "endpoint")
            addRecord(document.endpoints, endpointTable(), section, faults);
        else
            faults.push_back({ failure_kind::UnknownSection, placeOf(section, "", section.line), section.kind,
                "account, pool, endpoint" });
    }

} // namespace

std::span<const setting_row<client_account>> clientAccountTable()
{
    return accountRows;
}

std::span<const setting_row<endpoint_pool>> endpointPoolTable()
{
    return poolRows;
}

std::span<const setting_row<endpoint_description>> endpointTable()
{
    return endpointRows;
}

wire_key addressKeyOf(const endpoint_description& endpoint)
{
    return wireKeyOf(endpoint.id.value + '\n' + endpoint.address + '\n' + std::to_string(endpoint.port));
}

document_parse_result parseDocument(revision revisionNumber, const std::string& text)
{
    document_parse_result result;
    result.document.revisionNumber = revisionNumber;
    const auto ini = parseIni(text);
    if (!ini.ok()) {
        result.faults.push_back(failureOf(ini.status()).value_or(failure { failure_kind::SyntaxError }));
        return result;
    }
    for (const auto& section : ini->sections)
        addSection(result.document, section, result.faults);
    checkDocument(result.document, result.faults);
    return result;
}

} // namespace kumquatbeam
