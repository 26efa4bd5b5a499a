#pragma once

#include <cstdint>

namespace kumquatbeam {

/// The finalizer of MurmurHash3: every input bit affects every output bit.
inline std::uint64_t mixBits(std::uint64_t word)
{
    constexpr std::uint64_t first = 0xff51afd7ed558ccdULL;
    constexpr std::uint64_t second = 0xc4ceb9fe1a85ec53ULL;
    constexpr unsigned shift = 33;
    word ^= word >> shift;
    word *= first;
    word ^= word >> shift;
    word *= second;
    return word ^ (word >> shift);
}

} // namespace kumquatbeam
