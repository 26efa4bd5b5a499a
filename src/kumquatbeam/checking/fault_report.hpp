#pragma once

#include "kumquatbeam/settings/ini_text.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace kumquatbeam {

/// A failure found in a document and the team that owns its section, if known.
struct owned_fault {
    failure what;
    std::optional<team_id> owner {};
};

/// Determines the owner of each failure's section from the section's `owner` key in the text.
std::vector<owned_fault> assignOwners(const std::vector<failure>& faults, const std::string& text);

/// A human-readable line with the kind, place, value found, range allowed and owner.
std::string describe(const owned_fault&);

} // namespace kumquatbeam
