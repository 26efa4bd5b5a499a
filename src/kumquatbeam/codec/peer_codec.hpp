#pragma once

#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/time.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Bytes of the length that goes before each frame.
inline constexpr std::size_t frameLengthSize = 4;

/// Largest frame that a peer may send. A document of a megabyte fits.
inline constexpr std::size_t frameLimit = 4 * 1024 * 1024;

/// A message as the bytes of one frame, length first. Deadlines go out as the time that is left of them.
std::string encodeFrame(const peer_message&, time_point now);

/// The length that a frame's first bytes state, or an error when it is zero or too large.
absl::StatusOr<std::size_t> decodeFrameLength(std::string_view bytes);

/// The message in a frame's bytes after its length. Verified before it is read. A string of its own holds them, since
/// the tables are read in place and have to be aligned.
absl::StatusOr<peer_message> decodeFrame(const std::string& bytes, time_point now);

} // namespace kumquatbeam
