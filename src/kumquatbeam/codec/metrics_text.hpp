#pragma once

#include "kumquatbeam/controllers/status_report.hpp"

#include <string>

namespace kumquatbeam {

/// Encodes a router's metrics in the Prometheus text format.
std::string encodeMetrics(const status_report&);

} // namespace kumquatbeam
