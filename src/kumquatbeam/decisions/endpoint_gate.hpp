#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/concurrency_limit.hpp"
#include "kumquatbeam/decisions/endpoint_health.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace kumquatbeam {

/// Decides which endpoints of one pool may take another call: those neither ejected nor at this router's concurrency
/// limit.
class endpoint_gate {
public:
    /// Updates the pool's endpoints and their slots.
    void setEndpoints(const pool_view&);

    /// @{ Records the result of a call at the endpoint.
    void recordAnswer(const endpoint_id& endpoint, time_point now) { m_health.recordAnswer(endpoint, now); }
    void recordFailure(const endpoint_id& endpoint, time_point now) { m_health.recordFailure(endpoint, now); }
    /// @}

    /// Records a load probe: the number of calls waiting at the endpoint, or nothing when the probe failed.
    void recordProbe(const endpoint_capacity&, std::optional<std::int64_t> waiting, time_point now);

    /// Whether the endpoint may take another call.
    bool admits(const endpoint_capacity&, time_point now) const;

    /// Whether the endpoint is ejected, or on trial after an ejection.
    bool isEjected(const endpoint_id& endpoint) const { return m_health.isEjected(endpoint); }

    /// When the first of the current ejections ends.
    time_point nextEjectionEnd(time_point now) const { return m_health.nextEjectionEnd(now); }

private:
    endpoint_health m_health;
    std::map<endpoint_id, concurrency_limit> m_limits;
};

} // namespace kumquatbeam
