#pragma once

#include <string>
#include <vector>

namespace kumquatbeam {

/// One field of an HTTP header that is passed on as it came.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

/// Fields in the order in which they came.
using header_fields = std::vector<header_field>;

} // namespace kumquatbeam
