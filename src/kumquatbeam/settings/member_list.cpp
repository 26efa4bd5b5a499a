#include "kumquatbeam/settings/member_list.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    constexpr setting_range nameLength { 1, 64 };
    constexpr setting_range flag { 0, 1 };

    constexpr auto entryVmRows = std::to_array<setting_row<entry_vm>>({
        settingRow<&entry_vm::domain>({ "domain", "characters", nameLength, true, "failure domain" }),
        settingRow<&entry_vm::address>({ "address", "characters", nameLength, true, "IP address" }),
        settingRow<&entry_vm::peerPort>({ "peer-port", "port", { 1, 65535 }, true, "TCP port for peers" }),
        settingRow<&entry_vm::isLeaving>({ "leaving", "yes or no", flag, false, "whether the machine is leaving" }),
    });

    constexpr auto endpointMachineRows = std::to_array<setting_row<endpoint_machine>>({
        settingRow<&endpoint_machine::isLeaving>(
            { "leaving", "yes or no", flag, false, "whether the machine is leaving" }),
    });

    template <typename Record, typename Id>
    void addMember(std::map<Id, Record>& records, std::span<const setting_row<Record>> table,
        const ini_section& section, std::vector<failure>& faults)
    {
        Record record;
        record.id = Id { section.name };
        const auto faultsBefore = faults.size();
        fillRecord(record, table, section, faults);
        if (faults.size() == faultsBefore && !records.try_emplace(record.id, record).second)
            faults.push_back({ failure_kind::DuplicateName, placeOf(section, "", section.line), section.name });
    }

} // namespace

std::span<const setting_row<entry_vm>> entryVmTable()
{
    return entryVmRows;
}

member_list_parse_result parseMembers(revision revisionNumber, const std::string& text)
{
    member_list_parse_result result;
    result.members.revisionNumber = revisionNumber;
    const auto ini = parseIni(text);
    if (!ini.ok()) {
        result.faults.push_back(failureOf(ini.status()).value_or(failure { failure_kind::SyntaxError }));
        return result;
    }
    result.isReadable = true;
    for (const auto& section : ini->sections) {
        if (section.kind == "entry-vm")
            addMember<entry_vm>(result.members.entryVms, entryVmRows, section, result.faults);
        else if (section.kind == "endpoint")
            addMember<endpoint_machine>(result.members.endpointMachines, endpointMachineRows, section, result.faults);
        else
            result.faults.push_back({ failure_kind::UnknownSection, placeOf(section, "", section.line), section.kind,
                "entry-vm, endpoint" });
    }
    return result;
}

} // namespace kumquatbeam
