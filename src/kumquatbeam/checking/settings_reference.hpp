#pragma once

#include <span>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Returns the reference page of a router's settings file in Markdown, generated from its settings table.
std::string routerReference(std::span<const std::string_view> strategies);

/// Returns the reference page of the operators' document in Markdown, generated from its settings tables.
std::string documentReference();

} // namespace kumquatbeam
