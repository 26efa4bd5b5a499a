#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

namespace kumquatbeam {

/// Outlier ejection for the endpoints of one pool: consecutive failures eject an endpoint for a time that doubles up to
/// a bound, and one trial call at a time brings it back.
class endpoint_health {
public:
    /// Consecutive failures, of calls or of load probes, that eject an endpoint.
    static constexpr int failuresToEject = 3;

    /// @{ The first ejection's time, and the bound to which it doubles.
    static constexpr std::chrono::seconds firstEjectionDuration { 2 };
    static constexpr std::chrono::seconds maximumEjectionDuration { 30 };
    /// @}

    /// An endpoint that has served for this long after its return starts from the first ejection's time again.
    static constexpr std::chrono::seconds probationPeriod { 60 };

    /// At most one in this many endpoints of the pool is ejected.
    static constexpr std::size_t endpointsPerEjection = 2;

    /// Keeps these endpoints and forgets all others.
    void setEndpoints(const std::set<endpoint_id>&);

    /// Failures that an endpoint counts for when no connection to it could be made: two in a row eject it. One may be a
    /// lost packet.
    static constexpr int unreachableFailureWeight = 2;

    /// @{ Takes in the end of a call at the endpoint.
    void recordAnswer(const endpoint_id&, time_point now);
    void recordFailure(const endpoint_id&, time_point now);
    void recordUnreachable(const endpoint_id&, time_point now);
    /// @}

    /// Takes in whether the endpoint answered a load probe. Probes fail a run of their own: a probe that is answered
    /// says nothing about calls.
    void recordProbe(const endpoint_id&, bool isAnswered, time_point now);

    /// Whether a further call may go to the endpoint, given whether this router has one running there.
    bool admits(const endpoint_id&, bool hasRunning, time_point now) const;

    /// Whether the endpoint is ejected, or on trial after that.
    bool isEjected(const endpoint_id&) const;

    /// When the next ejection ends.
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
