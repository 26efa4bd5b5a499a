#include "kumquatbeam/checking/canonical_document.hpp"

namespace kumquatbeam {

namespace {

    template <typename Id, typename Record>
    void addSections(canonical_document& result, const char* kind, const std::map<Id, Record>& records,
        std::span<const setting_row<Record>> table)
    {
        for (const auto& [id, record] : records) {
            canonical_section section { .owner = record.owner };
            for (const auto& row : table)
                section.values.emplace(row.key, row.format(record));
            result.emplace(section_name { kind, id.value }, std::move(section));
        }
    }

    void compareSections(const section_name& name, const canonical_section& before, const canonical_section& after,
        std::vector<document_difference>& changes)
    {
        for (const auto& [key, value] : before.values) {
            const auto& other = after.values.at(key);
            if (value != other)
                changes.push_back({ document_difference_kind::ValueChanged, name, key, value, other });
        }
    }

} // namespace

canonical_document canonicalFormOf(const fleet_document& document)
{
    canonical_document result;
    addSections(result, "account", document.accounts, clientAccountTable());
    addSections(result, "pool", document.pools, endpointPoolTable());
    addSections(result, "endpoint", document.endpoints, endpointTable());
    return result;
}

std::vector<document_difference> compareDocuments(const canonical_document& before, const canonical_document& after)
{
    std::vector<document_difference> changes;
    for (const auto& [name, section] : before) {
        const auto other = after.find(name);
        if (other == after.end())
            changes.push_back({ document_difference_kind::SectionRemoved, name });
        else
            compareSections(name, section, other->second, changes);
    }
    for (const auto& [name, section] : after) {
        if (!before.contains(name))
            changes.push_back({ document_difference_kind::SectionAdded, name });
    }
    return changes;
}

std::string describe(const document_difference& change)
{
    const auto place = toText(change.section);
    switch (change.kind) {
    case document_difference_kind::SectionAdded:
        return place + ": added";
    case document_difference_kind::SectionRemoved:
        return place + ": removed";
    case document_difference_kind::ValueChanged:
        break;
    }
    return place + ": " + std::string(change.key) + " " + change.before + " -> " + change.after;
}

std::string toText(const section_name& section)
{
    return section.kind + " " + section.name;
}

std::map<pool_id, slot_count> slotsOfPools(const fleet_document& document)
{
    std::map<pool_id, slot_count> slots;
    for (const auto& [id, pool] : document.pools)
        slots.emplace(id, slot_count {});
    for (const auto& [id, endpoint] : document.endpoints)
        slots[endpoint.pool] += endpoint.slots;
    return slots;
}

} // namespace kumquatbeam
