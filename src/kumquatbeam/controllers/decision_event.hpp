#pragma once

#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"
#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/endpoint_load.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/request_context.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatbeam {

/// A caller's request has been read completely.
struct request_arrived {
    request_id id;
    std::shared_ptr<const call_request> call;
};

/// The filter chain admitted a request.
struct request_admitted {
    request_context context;
};

/// The filter chain refused a request.
struct request_refused {
    request_context context;
    failure_kind problem = failure_kind::None;
};

/// An admitted request has ended; raised by the controller that ended it.
struct request_ended {
    request_context context;
    /// The reply to send; unset if the endpoint's answer was relayed in chunks or the caller disconnected.
    std::optional<call_reply> reply {};
};

/// The caller of a request has disconnected.
struct request_abandoned {
    request_id id;
};

/// How an attempt to run a call at an endpoint ended.
enum class attempt_outcome {
    /// The complete answer was received.
    Completed,
    /// No byte of the call was sent.
    NotSent,
    /// The endpoint reported that it did not run the call.
    Refused,
    /// At least one byte was sent, and the answer is missing or incomplete.
    Broken,
};

/// The end of one attempt, reported by the endpoints duty.
struct attempt_ended {
    request_id id;
    endpoint_id endpoint;
    attempt_outcome outcome = attempt_outcome::NotSent;
    /// Set unless the outcome is `Completed`.
    std::optional<failure> problem {};
    /// Bytes of the answer's body relayed to the caller, including the offset at which the attempt resumed.
    byte_count relayedBytes {};
    /// The last event relayed to the caller, over all attempts.
    std::optional<event_number> lastEvent {};
    /// Whether the answer was relayed as it arrived; otherwise the fields below hold it.
    bool isRelayed = false;
    endpoint_status status { 0 };
    std::string contentType {};
    header_fields fields {};
    std::string body {};
    /// Load that the endpoint reported in its answer.
    std::optional<endpoint_load> load {};
    /// Time for which the slot was held.
    service_cost cost {};
};

/// What an endpoint says about itself in the head of an answer, whatever the answer is to.
struct endpoint_noticed {
    endpoint_id endpoint;
    /// The incarnation that the router has called; see `announced_endpoint`.
    std::int64_t incarnation = 0;
    /// The endpoint is about to leave.
    bool isLeaving = false;
    /// Until when the endpoint asks this router to send it nothing.
    std::optional<time_point> quietUntil {};
    /// Until when the endpoint is cold, if it says that it is.
    std::optional<time_point> coldUntil {};
    /// Set if the endpoint asks for quiet in a form that is not understood.
    std::optional<failure> problem {};
};

/// The head of a streamed answer has arrived.
struct answer_begun {
    request_id id;
    /// Load that the endpoint reported in the head.
    std::optional<endpoint_load> load {};
};

/// The endpoint answered a load query, or the query failed.
struct load_observed {
    endpoint_id endpoint;
    std::optional<endpoint_load> load;
    /// Address that was queried.
    std::string address {};
    std::int64_t port = 0;
};

/// A revision of the operators' document, published by the platform.
struct document_published {
    revision revisionNumber;
    std::string text;
};

/// A revision of the member list, published by the platform.
struct members_published {
    revision revisionNumber;
    std::string text;
};

/// A document became active; raised by the controller that owns it.
struct document_accepted {
    revision revisionNumber;
};

/// The known state of the entry VMs changed; raised by the controller that owns it.
struct membership_changed {
    /// Every other entry VM that is not leaving.
    std::set<entry_vm_id> peers;
};

/// Connections or their requests were dropped, since all of them took too much.
struct connections_dropped {
    /// Name in logs of the part that dropped them.
    std::string_view part;
    failure_kind cause = failure_kind::None;
    std::uint64_t count = 0;
};

/// All replies to callers have been written and all caller connections are closed.
struct caller_connections_closed { };

/// All messages to peers have been written and their connections are closed.
struct peer_connections_closed { };

/// A connection to a peer is established, and the peer's hello has been received.
struct peer_connected {
    peer_hello hello;
};

/// The connection to a peer was lost.
struct peer_lost {
    entry_vm_id peer;
};

/// A message from a peer.
struct peer_received {
    entry_vm_id from;
    peer_message message;
};

/// An operator's status query, by its id in the operators duty.
struct status_requested {
    request_id query;
};

/// The process was asked to stop.
struct shutdown_requested { };

/// A read of the published routes. The table was the newest at some time after `readStartedAt`.
struct routes_observed {
    std::shared_ptr<const route_table> table;
    time_point readStartedAt;
    source_era era {};
};

/// A read of the announced endpoints. They were announced at some time after `readStartedAt`.
struct directory_observed {
    std::shared_ptr<const endpoint_directory> directory;
    time_point readStartedAt;
    /// Set if reads have failed since the last one that succeeded: the outage did not end before this time.
    std::optional<time_point> outageEndedAfter {};
    source_era era {};
};

/// The source of routes and endpoints has become unreadable.
struct source_lost {
    failure problem;
};

/// The source of routes and endpoints is readable again.
struct source_regained { };

/// Published data is invalid; the last valid state stays in use.
struct source_faulty {
    failure problem;
};

/// The settings that may change at run time have been reloaded.
struct settings_reloaded {
    route_bounds bounds;
    /// Addresses of routers from which to discover the others.
    std::vector<std::string> seeds;
};

/// A route table became active; raised by the controller that owns it.
struct routes_changed { };

/// The keys of the active route table were confirmed without a further read; raised by the controller that owns it.
struct keys_confirmed { };

/// The load placed by the other routers changed; raised by the controller that owns it.
struct fleet_load_changed { };

/// The known endpoints changed; raised by the controller that owns them.
struct directory_changed { };

/// Events handled by the decisions duty.
using decision_event = std::variant<request_arrived, request_admitted, request_refused, request_ended,
    request_abandoned, attempt_ended, endpoint_noticed, answer_begun, load_observed, routes_observed,
    directory_observed, source_lost, source_regained, source_faulty, settings_reloaded, routes_changed, keys_confirmed,
    fleet_load_changed, directory_changed, document_published, members_published, document_accepted, membership_changed,
    peer_connected, peer_lost, peer_received, status_requested, shutdown_requested, connections_dropped,
    caller_connections_closed, peer_connections_closed>;

} // namespace kumquatbeam
