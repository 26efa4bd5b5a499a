#pragma once

#include "kumquatbeam/controllers/decision_event.hpp"

#include <optional>
#include <string>

namespace kumquatbeam {

/// Parses an endpoint's answer to `GET /load`: an INI text with a `[load]` section. Returns `std::nullopt` if it is
/// malformed.
std::optional<endpoint_load> parseLoadReport(const endpoint_id&, const std::string& text);

} // namespace kumquatbeam
