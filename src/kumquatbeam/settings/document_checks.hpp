#pragma once

#include "kumquatbeam/settings/fleet_document.hpp"

#include <vector>

namespace kumquatbeam {

/// Checks constraints across settings: references, uniqueness and values that depend on each other. Appends a failure
/// for each violation.
void checkDocument(const fleet_document&, std::vector<failure>& faults);

} // namespace kumquatbeam
