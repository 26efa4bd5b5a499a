#pragma once

#include <cstddef>
#include <cstdint>

namespace kumquatbeam {

/// Largest input, in bytes, that a connection buffers ahead of its parser. Bounds everything that Beast's parser must
/// see as a whole: a head, a chunk's extensions, a trailer. Also keeps single fields below the 65,533 bytes at which
/// Beast throws `std::length_error`.
inline constexpr std::size_t messageBufferLimit = 64 * 1024;

/// Largest head, in bytes, that fits into the buffer.
inline constexpr std::uint32_t headLimit = 60 * 1024;

} // namespace kumquatbeam
