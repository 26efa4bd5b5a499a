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
    /// Open loop: calls a minute, however many are still open. Zero for none.
    std::int64_t perMinute = 0;
    /// Closed loop: calls kept open at all times. Zero for none.
    std::int64_t outstanding = 0;
    std::int64_t tokensLow = 10;
    std::int64_t tokensHigh = 10;
    /// Time for a token, or for a whole order.
    std::chrono::milliseconds pace { 20 };
    std::chrono::milliseconds deadline { 30000 };
    /// Booking: how often an order without an answer is tried again under its ticket, through another router.
    std::int64_t retries = 0;
    /// Booking: share of answered orders whose caller asks again and compares the two answers.
    std::int64_t askAgainPercent = 0;
    /// Booking: share of attempts that the caller leaves, and when at the latest.
    std::int64_t leavePercent = 0;
    std::chrono::milliseconds leaveAfter { 100 };
    /// Places of the routers in the target list that this stream calls, such as `0 2 3`; empty for all.
    std::string routers;
    /// When the stream starts and ends, counted from the start of the run; an end of zero means the end of the run.
    std::chrono::milliseconds startsAfter { 0 };
    std::chrono::milliseconds endsAfter { 0 };
};

/// A load mix, or what is wrong with its text.
struct load_mix {
    std::vector<load_stream> streams;
    std::vector<failure> faults;
};

/// Parses the INI text of a mix: one `[stream NAME]` section for each stream.
load_mix parseLoadMix(const std::string& text);

} // namespace kumquatbeam
