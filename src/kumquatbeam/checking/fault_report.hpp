#pragma once

#include "kumquatbeam/settings/ini_text.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace kumquatbeam {

/// A fault of a document and the team whose section it stands in, where there is one.
struct owned_fault {
    failure what;
    std::optional<team_id> owner {};
};

/// Says for each fault which team owns its section, by the section's `owner` key in the text.
std::vector<owned_fault> assignOwners(const std::vector<failure>& faults, const std::string& text);

/// One line for people: kind, place, value found, range allowed and owner.
std::string describe(const owned_fault&);

} // namespace kumquatbeam
