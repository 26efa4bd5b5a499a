#pragma once

#include "kumquatbeam/settings/fleet_document.hpp"

#include <vector>

namespace kumquatbeam {

/// Checks what no single setting shows: references, uniqueness, and values that only hold together. Appends a fault for
/// each violation.
void checkDocument(const fleet_document&, std::vector<failure>& faults);

} // namespace kumquatbeam
