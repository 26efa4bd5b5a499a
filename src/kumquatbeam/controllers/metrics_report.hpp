#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatbeam {

/// A quantile of a distribution, in seconds.
struct quantile_report {
    double probability = 0;
    double seconds = 0;
};

/// Distribution of the durations of one kind of operation.
struct duration_report {
    std::uint64_t count = 0;
    double totalSeconds = 0;
    double largestSeconds = 0;
    /// Empty while there are too few observations.
    std::vector<quantile_report> quantiles;
};

/// Number of requests with the same outcome.
struct outcome_count {
    reply_kind kind = reply_kind::Answered;
    failure_kind failure = failure_kind::None;
    std::uint64_t requests = 0;
};

/// Number of failures of one kind that a filter or controller logged, such as refused documents.
struct failure_count {
    std::string part;
    failure_kind failure = failure_kind::None;
    std::uint64_t times = 0;
};

/// Number of requests of an account that were refused because it sent too many.
struct flood_count {
    client_account_id account;
    std::uint64_t refused = 0;
};

/// Capacity and fairness of one pool as known to this router.
struct pool_metrics {
    pool_id pool;
    slot_count slots;
    /// Running calls of this router.
    std::int64_t running = 0;
    /// Calls of all routers, as reported by the endpoints.
    std::int64_t reportedRunning = 0;
    std::int64_t reportedWaiting = 0;
    std::size_t backloggedAccounts = 0;
    /// @{ Difference in service per share between the most and the least served backlogged account, in slot-seconds per
    /// share: now, and the largest since the start of the process.
    double fairnessGap = 0;
    double largestFairnessGap = 0;
    /// @}
};

/// Decisions of a pool about cold endpoints and evacuated failure domains since the start of the process.
struct cold_pool_counts {
    /// Requests sent to cold endpoints.
    std::uint64_t sentToCold = 0;
    /// Calls that found only cold endpoints to which this router could send nothing then.
    std::uint64_t foundOnlyCold = 0;
    /// Calls that found all usable endpoints in evacuated failure domains.
    std::uint64_t refusedEvacuated = 0;
};

/// Counts and distributions of the metrics controller since the start of the process.
struct metrics_report {
    std::vector<outcome_count> outcomes;
    std::vector<failure_count> failures;
    std::vector<flood_count> floods;
    std::vector<pool_metrics> pools;
    duration_report queueWait;
    duration_report attempt;
    duration_report firstByte;
};

} // namespace kumquatbeam
