#pragma once

#include "kumquatbeam/controllers/metrics_report.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatbeam {

/// State of one account in one pool as known to this router.
struct account_status {
    pool_id pool;
    client_account_id account;
    account_share share;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    service_cost served;
};

/// State of one endpoint as known to this router.
struct endpoint_state {
    endpoint_id endpoint;
    pool_id pool;
    slot_count slots;
    slot_count running;
    bool isLeaving = false;
    /// Whether the endpoint is ejected because of failures, or on probation after an ejection.
    bool isEjected = false;
    /// Whether the endpoint's failure domain is evacuated.
    bool isEvacuated = false;
    bool isCold = false;
    /// Learned prefill rate in prompt tokens per millisecond; zero if nothing was learned lately.
    double prefillRate = 0;
};

/// Counts of the decisions about cold endpoints and evacuated failure domains in one pool.
struct cold_pool_status {
    pool_id pool;
    cold_pool_counts counts;
};

/// State of one peer as known to this router.
struct peer_status {
    entry_vm_id peer;
    bool isConnected = false;
    bool isReachable = false;
    revision document;
};

/// State of the ring of one duty.
struct ring_status {
    std::string duty;
    /// Messages refused because the ring was full.
    std::uint64_t refused = 0;
};

/// State of one pool as known to this router.
struct pool_status {
    pool_id pool;
    service_cost meanCost;
    strategy_state division;
};

/// Status of a router for operators.
struct status_report {
    entry_vm_id self;
    failure_domain_id domain;
    incarnation_id incarnation;
    revision document;
    /// The newest revision refused since the active document was accepted; zero if none was.
    revision refusedDocument;
    revision members;
    /// @{ Era of the published data, and the number of eras that the process has seen; see `source_era`.
    source_era sourceEra;
    std::uint64_t sourceErasSeen = 0;
    /// @}
    bool isReady = false;
    bool isDraining = false;
    std::string strategy;
    /// Traffic with other daemons since the start of the process, without the headers of lower layers.
    std::uint64_t controlBytesSent = 0;
    std::uint64_t controlFramesSent = 0;
    std::uint64_t controlBytesReceived = 0;
    /// Bytes that are held for callers, and what was dropped since the start of the process, since there was too much.
    std::uint64_t callerHeldBytes = 0;
    std::uint64_t callersDroppedForMemory = 0;
    std::uint64_t callersDroppedForConnections = 0;
    std::vector<pool_status> pools;
    std::vector<account_status> accounts;
    std::vector<endpoint_state> endpoints;
    std::vector<peer_status> peers;
    std::vector<ring_status> rings;
    std::vector<failure_domain_id> evacuatedDomains;
    std::vector<cold_pool_status> coldPools;
    metrics_report metrics;
};

} // namespace kumquatbeam
