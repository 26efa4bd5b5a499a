#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

namespace kumquatbeam {

/// Outlier ejection for the endpoints of one pool: consecutive failures eject an endpoint for a duration that doubles
/// up to a maximum. When the ejection ends, the endpoint is on trial, with one call at a time, until a call succeeds.
class endpoint_health {
public:
    /// Consecutive failures, of calls or of load probes, that eject an endpoint.
    static constexpr int failuresToEject = 3;

    /// @{ Duration of the first ejection, and the maximum to which it doubles.
    static constexpr std::chrono::seconds firstEjectionDuration { 2 };
    static constexpr std::chrono::seconds maximumEjectionDuration { 30 };
    /// @}

    /// An endpoint that answers calls for this long after its return starts from the first ejection's duration again.
    static constexpr std::chrono::seconds probationPeriod { 60 };

    /// At most one in this many endpoints of the pool is ejected at a time.
    static constexpr std::size_t endpointsPerEjection = 2;

    /// Sets the tracked endpoints and discards the state of all others.
    void setEndpoints(const std::set<endpoint_id>&);

    /// Failures that a failed connection attempt counts as: two in a row eject the endpoint. One may be a lost packet.
    static constexpr int unreachableFailureWeight = 2;

    /// @{ Records the result of a call at the endpoint.
    void recordAnswer(const endpoint_id&, time_point now);
    void recordFailure(const endpoint_id&, time_point now);
    void recordUnreachable(const endpoint_id&, time_point now);
    /// @}

    /// Records whether the endpoint answered a load probe. Failed probes are counted apart from failed calls, since an
    /// answered probe does not show that calls succeed.
    void recordProbe(const endpoint_id&, bool isAnswered, time_point now);

    /// Whether another call may be sent to the endpoint, given whether this router has one in flight there.
    bool admits(const endpoint_id&, bool hasRunning, time_point now) const;

    /// Whether the endpoint is ejected, or on trial after an ejection.
    bool isEjected(const endpoint_id&) const;

    /// When the first of the current ejections ends.
    time_point nextEjectionEnd(time_point now) const;

private:
    enum class ejection_state {
        Healthy,
        /// Ejected until `ejectedUntil`, and on trial from then on.
        Ejected,
    };

    struct record {
        ejection_state is = ejection_state::Healthy;
        int failedCalls = 0;
        int failedProbes = 0;
        time_point ejectedUntil {};
        std::chrono::seconds nextEjectionDuration = firstEjectionDuration;
        time_point probationEndsAt = never;
    };

    void countFailures(const endpoint_id&, int failures, time_point now);
    void eject(record&, time_point now);
    bool mayEjectOneMore() const;

    std::map<endpoint_id, record> m_records;
};

} // namespace kumquatbeam
