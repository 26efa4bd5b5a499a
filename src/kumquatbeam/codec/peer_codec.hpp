#pragma once

#include "kumquatbeam/types/arrival_bounds.hpp"
#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/time.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Size in bytes of the length prefix of a frame.
inline constexpr std::size_t frameLengthSize = 4;

/// Largest frame, in bytes, that a peer may send. A document of one megabyte fits.
inline constexpr std::size_t frameLimit = 4 * 1024 * 1024;

/// Encodes a message as one frame with its length prefix. Deadlines are sent as remaining time.
std::string encodeFrame(const peer_message&, time_point now);

/// Decodes the length prefix of a frame; returns an error if the length is zero or too large.
absl::StatusOr<std::size_t> decodeFrameLength(std::string_view bytes);

/// Decodes a frame without its length prefix. The frame is verified before it is read. `bytes` must be a separate
/// string, since the tables are read in place and have to be aligned. Remaining times count from the earliest arrival,
/// but for the deadline of a forwarded call.
absl::StatusOr<peer_message> decodeFrame(const std::string& bytes, const arrival_bounds&);

} // namespace kumquatbeam
