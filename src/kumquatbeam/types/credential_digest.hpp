#pragma once

#include <string>

namespace kumquatbeam {

/// The SHA-256 digest of a credential, in lower-case hexadecimal.
std::string credentialDigest(const std::string& credential);

} // namespace kumquatbeam
