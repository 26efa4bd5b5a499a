#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace kumquatbeam {

/// Formats a router's status, as encoded by `encodeStatus`, as a short human-readable table of accounts, pools and
/// disconnected peers. Idle accounts are only counted, and endpoints are summed by pool.
absl::StatusOr<std::string> formatStatusTable(const std::string& json);

} // namespace kumquatbeam
