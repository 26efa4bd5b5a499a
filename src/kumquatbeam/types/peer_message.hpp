#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquatbeam {

/// First message on a connection between daemons; identifies the sender.
struct peer_hello {
    entry_vm_id from;
    incarnation_id incarnation;
    failure_domain_id domain;
};

/// Heartbeat on a connection between daemons, with the sender's current state.
struct peer_heartbeat {
    revision document;
    revision members;
    bool isDraining = false;
    /// Endpoints that the sender knows to be leaving, by the keys of their names and addresses.
    std::vector<wire_key> leavingEndpoints;
};

/// Requests the receiver's document in force if it is newer than this revision.
struct document_request {
    revision newerThan;
};

/// The text of the sender's document in force.
struct document_offer {
    revision revisionNumber;
    std::string text;
};

/// Largest body, in bytes, of a call or reply that is forwarded between routers. Leaves space in a frame for the other
/// fields.
inline constexpr std::size_t forwardedBodyLimit = 3 * 1024 * 1024;

/// Forwards an order to the router that owns its ticket.
struct order_forward {
    /// The sender's id for the request, echoed in the outcome.
    request_id id;
    order_ticket ticket;
    /// The call, with its credential. On the wire its deadline is sent as the remaining time.
    call_request call;
};

/// The owner's reply to a forwarded order.
struct order_outcome {
    request_id id;
    call_reply reply;
};

/// A router's demand for slots and the service it has given, reported to an arbiter, the router that divides the slots
/// of a pool in a failure domain. Covers one pool and only the accounts that changed.
struct slot_report {
    struct account_row {
        wire_key account;
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        /// Cumulative service in this incarnation. It only increases, so duplicated and reordered reports are harmless.
        service_cost served;
    };
    struct endpoint_row {
        wire_key endpoint;
        slot_count leased;
        slot_count running;
    };

    wire_key pool;
    revision document;
    std::vector<account_row> accounts;
    std::vector<endpoint_row> endpoints;
};

/// What an arbiter allows a router to run. Covers one pool and the router's whole quota at this arbiter.
struct slot_grant {
    struct account_row {
        wire_key account;
        std::uint32_t quota = 0;
        /// How far the account's service is ahead of the least served account, for an arbiter that takes over.
        service_cost lead;
    };
    struct endpoint_row {
        wire_key endpoint;
        slot_count leased;
    };

    wire_key pool;
    revision document;
    std::uint64_t sequence = 0;
    /// Remaining time of the lease when the message was sent; the receiver stores it as a deadline.
    std::chrono::milliseconds remaining { 0 };
    std::vector<account_row> accounts;
    std::vector<endpoint_row> endpoints;
};

/// A router known to the sender of a heartbeat.
struct known_router {
    entry_vm_id id;
    std::string address;
};

/// Heartbeat of a router to the fleet: the routers that it knows, its load on each endpoint and its token rates by
/// account. Sent a few times a second as a datagram. Each heartbeat is self-contained, so a lost one is harmless.
struct fleet_heartbeat {
    struct endpoint_row {
        wire_key endpoint;
        std::uint32_t running = 0;
        /// Prompt tokens of requests that were sent there and have no answer yet.
        token_count prefillTokens;
        /// Prefill rate that the sender itself has measured since it last reported one, in prompt tokens per
        /// millisecond; zero if it has measured too little.
        std::uint16_t prefillRate = 0;
    };

    struct account_row {
        wire_key account;
        /// @{ Recent rates of the account at this router: tokens requested and tokens admitted, per second.
        token_count requestedPerSecond;
        token_count admittedPerSecond;
        /// @}
    };

    /// An incarnation of an endpoint that has said in an answer that it is leaving.
    struct leaving_row {
        wire_key endpoint;
        std::int64_t incarnation = 0;
    };

    entry_vm_id from;
    incarnation_id incarnation;
    failure_domain_id domain;
    /// IP address at which the sender receives heartbeats.
    std::string address;
    /// Increases with each heartbeat of an incarnation, so that a reordered heartbeat is recognised as outdated.
    std::uint64_t sequence = 0;
    /// Version of the sender's route table; zero while it does not know whether that is the newest.
    revision routes;
    bool isLeaving = false;
    std::vector<known_router> knownRouters;
    std::vector<endpoint_row> endpoints;
    std::vector<account_row> accounts;
    std::vector<leaving_row> leavingEndpoints {};
};

/// Any message between two daemons.
using peer_message = std::variant<peer_hello, peer_heartbeat, document_request, document_offer, order_forward,
    order_outcome, slot_report, slot_grant, fleet_heartbeat>;

} // namespace kumquatbeam
