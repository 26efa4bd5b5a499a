#include "kumquatbeam/types/credential_digest.hpp"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

#include <array>

namespace kumquatbeam {

std::string credentialDigest(const std::string& credential)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(credential.data()), credential.size(), digest.data());
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

} // namespace kumquatbeam
