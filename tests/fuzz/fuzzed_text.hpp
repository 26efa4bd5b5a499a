#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Entry point that libFuzzer calls with each input.
extern "C" int LLVMFuzzerTestOneInput(
    const std::uint8_t* data, std::size_t size); // NOLINT(readability-identifier-naming)

namespace kumquatbeam {

inline std::string textOf(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/// Ends the fuzzer with a report unless the condition holds.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace kumquatbeam
