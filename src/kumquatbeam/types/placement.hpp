#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <string_view>

namespace kumquatbeam {

/// Where a call goes.
struct placement {
    endpoint_id endpoint;
    /// Prompt tokens that the endpoint has to read, as far as is known.
    token_count prefillTokens {};
    /// Time until the endpoint turns to the call, as far as is known.
    std::chrono::microseconds wait { 0 };
    std::string_view reason {};
    endpoint_id runnerUp {};
    std::string_view runnerUpReason {};
};

} // namespace kumquatbeam
