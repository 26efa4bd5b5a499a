#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <string_view>

namespace kumquatbeam {

/// The endpoint chosen for a call, with the reason and the runner-up.
struct placement {
    endpoint_id endpoint;
    /// Estimated prompt tokens that the endpoint has to prefill for the call.
    token_count prefillTokens {};
    /// Estimated time until the endpoint starts the call.
    std::chrono::microseconds wait { 0 };
    std::string_view reason {};
    endpoint_id runnerUp {};
    std::string_view runnerUpReason {};
};

} // namespace kumquatbeam
