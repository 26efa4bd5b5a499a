#pragma once

#include "kumquatbeam/controllers/status_report.hpp"
#include "kumquatbeam/settings/member_list.hpp"
#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/caller_limits.hpp"
#include "kumquatbeam/types/endpoint_load.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquatbeam {

/// Ends a request with a complete reply, or aborts the response if part of an answer was already sent to the caller.
struct reply_to_caller {
    request_id id;
    call_reply reply;
};

/// Status and header fields of an endpoint's answer; the body follows in `answer_chunk`s.
struct answer_head {
    request_id id;
    endpoint_status status;
    std::string contentType;
    /// Header fields that are passed on to the caller.
    header_fields fields {};
    /// Load that the endpoint reported in the head; only the decisions duty uses it.
    std::optional<endpoint_load> load {};
};

/// The next bytes of an answer. The endpoint session reads more once the caller session has acknowledged them.
struct answer_chunk {
    request_id id;
    std::string bytes;
};

/// The end of an answer; all its chunks have been sent.
struct answer_end {
    request_id id;
};

/// Sets the readiness that the load balancer sees.
struct set_ready {
    bool isReady = false;
};

/// Starts a shutdown: the router reports not ready from now on, and each connection closes after its next reply.
struct begin_drain { };

/// Stops accepting caller connections.
struct stop_accepting { };

/// Closes idle caller connections, and reports once all replies are written and all connections are closed.
struct close_caller_connections { };

/// Ends all requests in progress with this reply; a caller who has part of an answer gets a truncated one.
struct end_requests {
    call_reply reply;
};

/// Replaces the limits for callers.
struct set_caller_limits {
    caller_limits limits;
};

/// Commands to the callers duty.
using caller_command = std::variant<reply_to_caller, answer_head, answer_chunk, answer_end, set_ready,
    set_caller_limits, begin_drain, stop_accepting, end_requests, close_caller_connections>;

/// Address of one incarnation of an endpoint.
struct endpoint_address {
    endpoint_id endpoint;
    std::string address;
    std::int64_t port = 0;
    /// Start of the incarnation, as a number from the endpoint itself; zero if endpoints do not announce one.
    std::int64_t incarnation = 0;

    friend bool operator==(const endpoint_address&, const endpoint_address&) = default;
};

/// How an endpoint's answer is delivered to the caller.
enum class answer_delivery {
    /// In chunks as they arrive.
    Chunks,
    /// In complete events of an event stream as they arrive.
    Events,
    /// Buffered completely and returned to the decisions duty, which sends it to the caller.
    Buffered,
};

/// Sends a call to an endpoint.
struct start_attempt {
    request_id id;
    endpoint_address to;
    std::shared_ptr<const call_request> call;
    /// The account that the call runs for; empty if the route requires none.
    client_account_id account {};
    /// The first byte may not be sent after this time, because the lease on the slot or the account key has expired.
    time_point sendBefore = never;
    /// The attempt is cancelled after this time.
    time_point deadline = never;
    answer_delivery delivery = answer_delivery::Chunks;
    /// Whether the call needs a new connection. The endpoint may be closing a kept one, and after a reset before the
    /// answer it is unknown whether the call ran.
    bool needsFreshConnection = false;
    /// Bytes relayed by earlier attempts; the endpoint is asked to resume at this offset.
    byte_count resumeAt {};
    /// The last event relayed by earlier attempts; the endpoint is asked to resume after it.
    std::optional<event_number> resumeAfter {};
};

/// Cancels an attempt and notifies the endpoint.
struct cancel_attempt {
    request_id id;
};

/// Acknowledges that the caller session has written a chunk.
struct chunk_consumed {
    request_id id;
};

/// Replaces the endpoints whose load is queried.
struct probe_endpoints {
    std::vector<endpoint_address> endpoints;
};

/// Replaces the endpoints that calls may be sent to; kept connections to all others are closed, and attempts of which
/// no byte was sent are withdrawn.
struct set_allowed_endpoints {
    std::vector<endpoint_address> endpoints;
};

/// Commands to the endpoints duty.
using endpoint_command
    = std::variant<start_attempt, cancel_attempt, chunk_consumed, probe_endpoints, set_allowed_endpoints>;

/// Replaces the entry VMs to connect to.
struct set_peers {
    std::vector<entry_vm> peers;
};

/// Closes all peer connections and reconnects immediately.
struct reconnect_peers { };

/// Closes each peer connection once its queued messages are written, opens no new ones, and reports when all are
/// closed.
struct close_peer_connections { };

/// Sends a message to one peer.
struct send_to_peer {
    entry_vm_id to;
    peer_message message;
};

/// Sends one heartbeat to several peers.
struct send_heartbeat {
    std::vector<entry_vm_id> to;
    fleet_heartbeat heartbeat;
};

/// Commands to the peers duty.
using peer_command = std::variant<set_peers, reconnect_peers, close_peer_connections, send_to_peer, send_heartbeat>;

/// Answers an operator's status query.
struct status_reply {
    request_id query;
    status_report report;
};

/// Ends the process after a drain.
struct finish_process { };

/// Commands to the operators duty.
using operator_command = std::variant<status_reply, finish_process>;

/// Receives the commands of the controllers for the other duties.
class command_sink {
public:
    virtual ~command_sink() = default;

    virtual void send(caller_command) = 0;
    virtual void send(endpoint_command) = 0;
    virtual void send(peer_command) = 0;
    virtual void send(operator_command) = 0;
};

} // namespace kumquatbeam
