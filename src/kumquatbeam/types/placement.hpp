#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatbeam {

/// Where a call goes.
struct placement {
    endpoint_id endpoint;
    /// Prompt tokens that the endpoint has to read, as far as is known.
    token_count toRead {};
    /// The endpoint whose cache holds the shared beginning of the prompt, where the chosen one has to fetch it from
    /// there.
    std::optional<endpoint_id> fetchFrom {};
    /// Time until the endpoint turns to the call, as far as is known.
    std::chrono::microseconds wait { 0 };
    std::string_view reason {};
    endpoint_id runnerUp {};
    std::string_view runnerUpReason {};
};

} // namespace kumquatbeam
