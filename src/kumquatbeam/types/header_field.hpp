#pragma once

#include <string>
#include <vector>

namespace kumquatbeam {

/// An HTTP header field that is forwarded unchanged.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

/// Header fields in the order of receipt.
using header_fields = std::vector<header_field>;

} // namespace kumquatbeam
