#pragma once

#include "kumquatbeam/controllers/metrics_report.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatbeam {

/// One account in one pool, as this router sees it.
struct account_status {
    pool_id pool;
    client_account_id account;
    account_share share;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    service_cost served;
};

/// One endpoint, as this router sees it.
struct endpoint_state {
    endpoint_id endpoint;
    pool_id pool;
    slot_count slots;
    slot_count running;
    bool isLeaving = false;
    /// Whether the endpoint is ejected for its failures, or on trial after that.
    bool isEjected = false;
};

/// One peer, as this router sees it.
struct peer_status {
    entry_vm_id peer;
    bool isConnected = false;
    bool isReachable = false;
    revision document;
};

/// One duty's ring.
struct ring_status {
    std::string duty;
    /// Messages that were refused because the ring was full.
    std::uint64_t refused = 0;
};

/// One pool, as this router sees it.
struct pool_status {
    pool_id pool;
    service_cost meanCost;
    strategy_state division;
};

/// What an operator sees of a router.
struct status_report {
    entry_vm_id self;
    failure_domain_id domain;
    incarnation_id incarnation;
    revision document;
    /// The newest revision that was read and refused since the document in force; zero for none.
    revision refusedDocument;
    revision members;
    bool isReady = false;
    bool isDraining = false;
    std::string strategy;
    /// Frames to other daemons since the start, without the headers of the layers below.
    std::uint64_t controlBytesSent = 0;
    std::uint64_t controlFramesSent = 0;
    std::uint64_t controlBytesReceived = 0;
    std::vector<pool_status> pools;
    std::vector<account_status> accounts;
    std::vector<endpoint_state> endpoints;
    std::vector<peer_status> peers;
    std::vector<ring_status> rings;
    metrics_report metrics;
};

} // namespace kumquatbeam
