#include "kumquatbeam/checking/fault_report.hpp"

#include <unordered_map>

namespace kumquatbeam {

namespace {

    using owners_by_heading = std::unordered_map<std::string, team_id>;

    std::string headingOf(const ini_section& section)
    {
        return section.name.empty() ? section.kind : section.kind + " " + section.name;
    }

    owners_by_heading ownersIn(const std::string& text)
    {
        owners_by_heading owners;
        const auto ini = parseIni(text);
        if (!ini.ok())
            return owners;
        for (const auto& section : ini->sections) {
            for (const auto& entry : section.entries) {
                if (entry.key == "owner")
                    owners.emplace(headingOf(section), team_id { entry.value });
            }
        }
        return owners;
    }

    /// Extracts the heading from a place such as `line 3 [account a] share`.
    std::string headingIn(const std::string& place)
    {
        const auto open = place.find('[');
        const auto close = place.find(']', open);
        if (open == std::string::npos || close == std::string::npos)
            return {};
        return place.substr(open + 1, close - open - 1);
    }

} // namespace

std::vector<owned_fault> assignOwners(const std::vector<failure>& faults, const std::string& text)
{
    if (faults.empty())
        return {};
    const auto owners = ownersIn(text);
    std::vector<owned_fault> result;
    for (const auto& fault : faults) {
        const auto owner = owners.find(headingIn(fault.place));
        result.push_back({ fault });
        if (owner != owners.end())
            result.back().owner = owner->second;
    }
    return result;
}

std::string describe(const owned_fault& fault)
{
    auto text = describe(fault.what);
    if (fault.owner)
        text.append(" (owner ").append(fault.owner->value).append(")");
    return text;
}

} // namespace kumquatbeam
