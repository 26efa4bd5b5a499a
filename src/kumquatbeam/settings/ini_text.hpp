#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace kumquatbeam {

/// One `key = value` line of an INI text.
struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;
};

/// One `[kind name]` section; `name` is empty in a section such as `[router]`.
struct ini_section {
    std::string kind;
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;
};

/// The sections of an INI text in order of appearance; sections without keys come last.
struct ini_text {
    std::vector<ini_section> sections;
};

/// Parses an INI text. Duplicate sections and keys are errors that name the line.
absl::StatusOr<ini_text> parseIni(const std::string& text);

} // namespace kumquatbeam
