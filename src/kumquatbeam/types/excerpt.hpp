#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Longest excerpt in a log line, in bytes.
inline constexpr std::size_t excerptLimit = 240;

/// A printable beginning of a text of any length and content, for log lines and messages: control characters and
/// quotation marks are replaced, and a longer text ends in an ellipsis.
std::string excerptOf(std::string_view text, std::size_t limit = excerptLimit);

/// Whether a text from outside may become the value of a header field: no control characters, which could start another
/// field.
bool isHeaderSafe(std::string_view text);

} // namespace kumquatbeam
