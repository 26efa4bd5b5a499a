#pragma once

#include "kumquatbeam/controllers/status_report.hpp"
#include "kumquatbeam/settings/member_list.hpp"
#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/caller_limits.hpp"
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

/// Ends a request with a whole reply, or breaks it off where part of an answer has gone to the caller.
struct reply_to_caller {
    request_id id;
    call_reply reply;
};

/// The head of an endpoint's answer, which goes on in pieces.
struct answer_head {
    request_id id;
    endpoint_status status;
    std::string contentType;
    /// Fields of the endpoint's answer that are passed on.
    header_fields fields {};
};

/// The next bytes of an answer. The endpoint session reads on when the caller session has acknowledged them.
struct answer_chunk {
    request_id id;
    std::string bytes;
};

/// The endpoint ended its answer; all of it has been handed over.
struct answer_end {
    request_id id;
};

/// Whether the balancer shall send callers here.
struct set_ready {
    bool isReady = false;
};

/// A shutdown has begun: the router is not ready for good, and connections end with their next reply.
struct begin_drain { };

/// Stops accepting callers.
struct stop_accepting { };

/// Closes idle connections, and reports when everything is written and every connection is closed.
struct close_caller_connections { };

/// The limits that hold for callers from now on.
struct set_caller_limits {
    caller_limits limits;
};

/// Everything that the callers duty is told.
using caller_command = std::variant<reply_to_caller, answer_head, answer_chunk, answer_end, set_ready,
    set_caller_limits, begin_drain, stop_accepting, close_caller_connections>;

/// Where one life of an endpoint listens.
struct endpoint_address {
    endpoint_id endpoint;
    std::string address;
    std::int64_t port = 0;
    /// When this life began, in the endpoint's own count; zero where endpoints do not say.
    std::int64_t incarnation = 0;

    friend bool operator==(const endpoint_address&, const endpoint_address&) = default;
};

/// How an endpoint's answer gets to the caller.
enum class answer_delivery {
    /// In pieces as they come.
    Chunks,
    /// In whole events of an event stream as they come.
    Events,
    /// Kept whole for the decisions duty, which gives it to the caller.
    Buffered,
};

/// Has an endpoint run a call.
struct start_attempt {
    request_id id;
    endpoint_address to;
    std::shared_ptr<const call_request> call;
    /// The account that the call runs for; empty where the route asks for none.
    client_account_id account {};
    /// After this time no first byte may be sent: the lease on the slot has ended.
    time_point sendBefore = never;
    /// After this time the attempt is given up.
    time_point deadline = never;
    answer_delivery delivery = answer_delivery::Chunks;
    /// Whether a reset before the answer would leave open whether the call ran, so that a connection which the endpoint
    /// may be closing is not good enough.
    bool needsFreshConnection = false;
    /// Bytes that an earlier attempt has relayed; the endpoint is asked to go on from there.
    byte_count resumeAt {};
    /// The last event that an earlier attempt has relayed; the endpoint is asked to go on after it.
    std::optional<event_number> resumeAfter {};
};

/// Gives up an attempt and tells the endpoint.
struct cancel_attempt {
    request_id id;
};

/// The caller session has passed on a piece.
struct chunk_consumed {
    request_id id;
};

/// The endpoints whose load is to be asked for.
struct probe_endpoints {
    std::vector<endpoint_address> endpoints;
};

/// The endpoints that may be connected to from now on; kept connections to all others are closed.
struct set_allowed_endpoints {
    std::vector<endpoint_address> endpoints;
};

/// Everything that the endpoints duty is told.
using endpoint_command
    = std::variant<start_attempt, cancel_attempt, chunk_consumed, probe_endpoints, set_allowed_endpoints>;

/// The entry VMs to be connected with.
struct set_peers {
    std::vector<entry_vm> peers;
};

/// Closes every connection to a peer; new ones are made at once.
struct reconnect_peers { };

/// Closes each connection to a peer once what is queued for it has been written, makes no new ones, and reports when
/// all are closed.
struct close_peer_connections { };

/// Sends a message to one peer.
struct send_to_peer {
    entry_vm_id to;
    peer_message message;
};

/// Sends one beat to several peers.
struct send_heartbeat {
    std::vector<entry_vm_id> to;
    fleet_heartbeat heartbeat;
};

/// Everything that the peers duty is told.
using peer_command = std::variant<set_peers, reconnect_peers, close_peer_connections, send_to_peer, send_heartbeat>;

/// Answers an operator's query.
struct status_reply {
    request_id query;
    status_report report;
};

/// Ends the process: nothing is in progress any more.
struct finish_process { };

/// Everything that the operators duty is told.
using operator_command = std::variant<status_reply, finish_process>;

/// Where controllers put what the other duties shall do.
class command_sink {
public:
    virtual ~command_sink() = default;

    virtual void send(caller_command) = 0;
    virtual void send(endpoint_command) = 0;
    virtual void send(peer_command) = 0;
    virtual void send(operator_command) = 0;
};

} // namespace kumquatbeam
