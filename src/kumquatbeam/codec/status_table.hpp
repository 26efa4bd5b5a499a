#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace kumquatbeam {

/// A router's status, as `encodeStatus` wrote it, as a short table for people: what runs, who waits, what is cut off.
/// Idle accounts and endpoints are counted, not listed.
absl::StatusOr<std::string> formatStatusTable(const std::string& json);

} // namespace kumquatbeam
