#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/runtime/duty.hpp"

#include <atomic>
#include <cstdint>

namespace kumquatbeam {

/// Totals of the traffic with other daemons, updated by the peers or heartbeats duty and read by the operators duty.
struct control_traffic_counters {
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> framesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
};

/// What callers hold and what was dropped, updated by the callers duty and read by the operators duty.
struct caller_resource_counters {
    /// Bytes of requests, incomplete or in progress, and of replies that callers have not read.
    std::atomic<std::uint64_t> heldBytes = 0;
    /// Requests refused or closed, since all of them held too much memory.
    std::atomic<std::uint64_t> droppedForMemory = 0;
    /// Connections closed, since there were too many.
    std::atomic<std::uint64_t> droppedForConnections = 0;
};

/// Links to the rings of the duties. Set before any duty starts.
struct duty_links {
    duty<decision_event>* decisions = nullptr;
    duty<caller_command>* callers = nullptr;
    duty<endpoint_command>* endpoints = nullptr;
    duty<peer_command>* peers = nullptr;
    duty<operator_command>* operators = nullptr;
    control_traffic_counters* controlTraffic = nullptr;
    caller_resource_counters* callerResources = nullptr;
};

} // namespace kumquatbeam
