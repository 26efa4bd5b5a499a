#pragma once

#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatbeam {

/// One stream of calls in a load mix: who calls what, how often, and through which routers.
struct load_stream {
    std::string name;
    client_account_id account;
    std::string credential;
    pool_id pool;
    /// `model` for streamed answers of the engine stand-in, `booking` for orders of the service stand-in.
    std::string kind = "model";
    std::string urgencyName = "normal";
    /// Open loop: calls per minute, regardless of the number in flight. Zero for none.
    std::int64_t perMinute = 0;
    /// Closed loop: calls kept in flight at all times. Zero for none.
    std::int64_t outstanding = 0;
    std::int64_t tokensLow = 10;
    std::int64_t tokensHigh = 10;
    /// Time per token, or for a whole order.
    std::chrono::milliseconds pace { 20 };
    std::chrono::milliseconds deadline { 30000 };
    /// Booking: retries of an order without an answer, with the same ticket and through a randomly chosen router.
    std::int64_t retries = 0;
    /// Booking: percentage of answered orders that the caller requests again to compare the two answers.
    std::int64_t repeatPercent = 0;
    /// Booking: percentage of attempts that the caller abandons, and the longest time before it does.
    std::int64_t abandonPercent = 0;
    std::chrono::milliseconds abandonAfter { 100 };
    /// Indices in the target list of the routers that this stream calls, such as `0 2 3`; empty for all.
    std::string routers;
    /// When the stream starts and ends, counted from the start of the run; an end of zero means the end of the run.
    std::chrono::milliseconds startsAfter { 0 };
    std::chrono::milliseconds endsAfter { 0 };
};

/// A load mix and the failures found in its text.
struct load_mix {
    std::vector<load_stream> streams;
    std::vector<failure> faults;
};

/// Parses the INI text of a mix: one `[stream NAME]` section for each stream.
load_mix parseLoadMix(const std::string& text);

} // namespace kumquatbeam
