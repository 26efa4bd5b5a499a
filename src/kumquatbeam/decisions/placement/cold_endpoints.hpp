#pragma once

#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace kumquatbeam {

/// Requests in any second that a cold endpoint of a pool may get; nothing if the pool or the bounds set no limit.
std::optional<double> coldLimitOf(const routed_pool&, const route_bounds&);

/// Determines until when each endpoint of one pool counts as cold: by its announcement, by its answers, after the
/// evacuation of its failure domain, and after a failure that a restart may have caused.
class cold_endpoints {
public:
    /// Time for which a failure of an endpoint that no read shows is remembered. Longer than an endpoint is kept
    /// without an announcement.
    static constexpr std::chrono::minutes failureRetention { 10 };

    /// Sets how long endpoints of the pool are cold after a start.
    void setStartDuration(std::chrono::milliseconds duration) { m_startDuration = duration; }

    /// Until when the incarnation counts as cold; `never` if it may have restarted since it was last announced.
    time_point coldUntil(const announced_endpoint&, time_point evacuationEndedAt) const;

    /// Records what an incarnation said in an answer.
    void recordReport(const endpoint_id&, std::int64_t incarnation, time_point until);

    /// Records that an incarnation could not be reached or that its connection broke.
    void recordFailure(const endpoint_id&, std::int64_t incarnation, time_point now);

    /// Discards what a read of the directory supersedes: failures from before the read of endpoints that it shows, and
    /// records of other incarnations.
    void applyRead(const endpoint_directory&, time_point readStartedAt);

private:
    struct observation {
        std::int64_t incarnation = 0;
        time_point reportedUntil = time_point::min();
        /// Time of the last failure that no read has superseded.
        std::optional<time_point> failedAt {};
    };

    observation& observationOf(const endpoint_id&, std::int64_t incarnation);

    std::chrono::milliseconds m_startDuration { 0 };
    std::map<endpoint_id, observation> m_observations;
};

} // namespace kumquatbeam
