#pragma once

#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"
#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/request_context.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kumquatbeam {

/// A caller's request has been read whole.
struct request_arrived {
    request_id id;
    std::shared_ptr<const call_request> call;
};

/// The chain let a request pass.
struct request_admitted {
    request_context context;
};

/// The chain refused a request.
struct request_refused {
    request_context context;
    failure_kind problem = failure_kind::None;
};

/// An admitted request has had its end; raised by the controller that ended it.
struct request_ended {
    request_context context;
    /// The reply still to be given; nothing where the endpoint's answer went to the caller in pieces, or the caller
    /// left.
    std::optional<call_reply> reply {};
};

/// The caller of a request has left.
struct request_abandoned {
    request_id id;
};

/// What an endpoint reports about itself. It lags.
struct endpoint_load {
    endpoint_id endpoint;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    bool isLeaving = false;
};

/// How an attempt to have an endpoint run a call ended.
enum class attempt_outcome {
    /// The endpoint's whole answer was received.
    Completed,
    /// No byte of the call went out.
    NotSent,
    /// The endpoint said that it did not run the call.
    Refused,
    /// A byte went out, and the answer did not come whole.
    Broken,
};

/// The end of one attempt, as the endpoints duty saw it.
struct attempt_ended {
    request_id id;
    endpoint_id endpoint;
    attempt_outcome outcome = attempt_outcome::NotSent;
    /// Set unless the outcome is `Completed`.
    std::optional<failure> problem {};
    /// Bytes of the answer's body that were handed to the caller, counted over all attempts.
    byte_count relayedBytes {};
    /// The last event that was handed to the caller, counted over all attempts.
    std::optional<event_number> lastEvent {};
    /// Whether the answer went to the caller as it came; it is kept below otherwise.
    bool isRelayed = false;
    endpoint_status status { 0 };
    std::string contentType {};
    header_fields fields {};
    std::string body {};
    /// What the endpoint said of its load in its answer.
    std::optional<endpoint_load> load {};
    /// Time that the slot was held.
    service_cost cost {};
};

/// The head of a streamed answer has come for the caller.
struct answer_begun {
    request_id id;
};

/// The endpoint answered a load query, or the query failed.
struct load_observed {
    endpoint_id endpoint;
    std::optional<endpoint_load> load;
    /// Where the endpoint was asked.
    std::string address {};
    std::int64_t port = 0;
};

/// The platform or a peer has a text of the operators' document.
struct document_published {
    revision revisionNumber;
    std::string text;
};

/// The platform has a list of members.
struct members_published {
    revision revisionNumber;
    std::string text;
};

/// A document came into force; raised by the controller that owns it.
struct document_accepted {
    revision revisionNumber;
};

/// What is believed about the entry VMs changed; raised by the controller that owns it.
struct membership_changed {
    /// Every other entry VM that is not leaving.
    std::set<entry_vm_id> peers;
};

/// Every reply to a caller has been written and every caller's connection is closed.
struct caller_connections_closed { };

/// Everything for peers has been written and their connections are closed.
struct peer_connections_closed { };

/// A connection to a peer stands, and the peer has said who it is.
struct peer_connected {
    peer_hello hello;
};

/// The connection to a peer is gone.
struct peer_lost {
    entry_vm_id peer;
};

/// A peer said something.
struct peer_received {
    entry_vm_id from;
    peer_message message;
};

/// An operator's query, by its id in the operators duty.
struct status_requested {
    request_id query;
};

/// The process was told to stop.
struct shutdown_requested { };

/// A read of the published routes, which were the newest at some time after `readStartedAt`.
struct routes_observed {
    std::shared_ptr<const route_table> table;
    time_point readStartedAt;
};

/// A read of the announced endpoints, which were announced at some time after `readStartedAt`.
struct directory_observed {
    std::shared_ptr<const endpoint_directory> directory;
    time_point readStartedAt;
};

/// What publishes routes and endpoints cannot be read any more.
struct source_lost {
    failure problem;
};

/// What publishes routes and endpoints can be read again.
struct source_regained { };

/// Something that was published cannot be understood; what was believed before holds.
struct source_faulty {
    failure problem;
};

/// The settings of the process have been read again: what may change while it runs.
struct settings_reloaded {
    route_bounds bounds;
    /// Addresses of routers that may know the others.
    std::vector<std::string> seeds;
};

/// A route table came into force; raised by the controller that owns it.
struct routes_changed { };

/// What the other routers have running changed; raised by the controller that owns it.
struct fleet_load_changed { };

/// What is believed about the endpoints changed; raised by the controller that owns it.
struct directory_changed { };

/// Everything that reaches the decisions duty.
using decision_event = std::variant<request_arrived, request_admitted, request_refused, request_ended,
    request_abandoned, attempt_ended, answer_begun, load_observed, routes_observed, directory_observed, source_lost,
    source_regained, source_faulty, settings_reloaded, routes_changed, fleet_load_changed, directory_changed,
    document_published, members_published, document_accepted, membership_changed, peer_connected, peer_lost,
    peer_received, status_requested, shutdown_requested, caller_connections_closed, peer_connections_closed>;

} // namespace kumquatbeam
