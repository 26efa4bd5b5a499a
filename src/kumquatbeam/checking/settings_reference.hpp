#pragma once

#include <span>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// The reference page of a router's settings file, in Markdown, from the table that parses it.
std::string routerReference(std::span<const std::string_view> strategies);

/// The reference page of the operators' document, in Markdown, from the tables that parse it.
std::string documentReference();

} // namespace kumquatbeam
