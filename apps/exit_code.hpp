#pragma once

namespace kumquatbeam {

/// @{ Exit codes of all programs.
inline constexpr int exitOk = 0;
inline constexpr int exitRefused = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitSettings = 3;
inline constexpr int exitUnreachable = 4;
inline constexpr int exitDiffers = 5;
inline constexpr int exitInterrupted = 6;
/// @}

} // namespace kumquatbeam
