#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <cstdint>
#include <optional>

namespace kumquatbeam {

/// Load reported by an endpoint. It lags behind the actual load.
struct endpoint_load {
    endpoint_id endpoint;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    bool isLeaving = false;
    /// How long work takes on the endpoint's machine at the moment, relative to the usual time, if it says so.
    std::optional<double> slowdown {};
};

} // namespace kumquatbeam
