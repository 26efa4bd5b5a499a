#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <cstdint>
#include <string>

namespace kumquatbeam {

/// The 32-bit FNV-1a hash of a name. A document in which two names of the same kind collide is refused, so keys are
/// unique.
inline wire_key wireKeyOf(const std::string& name)
{
    constexpr std::uint32_t offsetBasis = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t hash = offsetBasis;
    for (const char character : name) {
        hash ^= static_cast<unsigned char>(character);
        hash *= prime;
    }
    return wire_key { hash };
}

template <typename Tag> wire_key wireKeyOf(const strong_value<Tag, std::string>& id)
{
    return wireKeyOf(id.value);
}

} // namespace kumquatbeam
