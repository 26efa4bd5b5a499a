#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace kumquatbeam {

/// Reads a whole file. The error names the path.
absl::StatusOr<std::string> readTextFile(const std::string& path);

} // namespace kumquatbeam
