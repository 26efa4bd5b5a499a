#pragma once

#include "kumquatbeam/controllers/status_report.hpp"

#include <string>

namespace kumquatbeam {

/// Encodes a status report as JSON.
std::string encodeStatus(const status_report&);

} // namespace kumquatbeam
