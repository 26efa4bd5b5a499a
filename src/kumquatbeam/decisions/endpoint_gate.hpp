#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/concurrency_limit.hpp"
#include "kumquatbeam/decisions/endpoint_health.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace kumquatbeam {

/// Which endpoints of one pool may take one more call: neither ejected nor at this router's concurrency limit.
class endpoint_gate {
public:
    /// Follows the pool's endpoints and their slots.
    void setEndpoints(const pool_view&);

    /// @{ Takes in the end of a call at the endpoint.
    void recordAnswer(const endpoint_id& endpoint, time_point now) { m_health.recordAnswer(endpoint, now); }
    void recordFailure(const endpoint_id& endpoint, time_point now) { m_health.recordFailure(endpoint, now); }
    /// @}

    /// Takes in a load probe: the calls that wait at the endpoint, or nothing when the probe failed.
    void recordProbe(const endpoint_capacity&, std::optional<std::int64_t> waiting, time_point now);

    /// Whether the endpoint may take one more call.
    bool admits(const endpoint_capacity&, time_point now) const;

    /// Whether the endpoint is ejected, or on trial after that.
    bool isEjected(const endpoint_id& endpoint) const { return m_health.isEjected(endpoint); }

    /// When an ejected endpoint may be tried again.
    time_point nextEjectionEnd(time_point now) const { return m_health.nextEjectionEnd(now); }

private:
    endpoint_health m_health;
    std::map<endpoint_id, concurrency_limit> m_limits;
};

} // namespace kumquatbeam
