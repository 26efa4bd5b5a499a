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

/// First message on a connection between daemons: who speaks.
struct peer_hello {
    entry_vm_id from;
    incarnation_id incarnation;
    failure_domain_id domain;
};

/// Says that the sender lives, and what it believes.
struct peer_heartbeat {
    revision document;
    revision members;
    bool isDraining = false;
    /// Endpoints that the sender knows to be leaving.
    std::vector<wire_key> leavingEndpoints;
};

/// Asks for the accepted document if the receiver holds one newer than this.
struct document_request {
    revision newerThan;
};

/// The text of an accepted document.
struct document_offer {
    revision revisionNumber;
    std::string text;
};

/// Largest body, in bytes, of a call or a reply that travels between routers. It leaves a frame room for the rest.
inline constexpr std::size_t forwardedBodyLimit = 3 * 1024 * 1024;

/// Hands an order to the router that its ticket names.
struct order_forward {
    /// The sender's id for the request, echoed in the outcome.
    request_id id;
    order_ticket ticket;
    /// The call; its credential travels along, and its deadline is the remaining time on the wire.
    call_request call;
};

/// The holder's reply to a forwarded order.
struct order_outcome {
    request_id id;
    call_reply reply;
};

/// What a router asks an arbiter for, and what it has served: one pool, only the accounts that changed.
struct slot_report {
    struct account_row {
        wire_key account;
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        /// Service in this incarnation so far; it only grows, so repeats and reordering do no harm.
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

/// What an arbiter lets a router run: one pool, the whole of the router's quota at this arbiter.
struct slot_grant {
    struct account_row {
        wire_key account;
        std::uint32_t quota = 0;
        /// Service that the account is ahead of the least served one, for an arbiter that takes over.
        service_cost lead;
    };
    struct endpoint_row {
        wire_key endpoint;
        slot_count leased;
    };

    wire_key pool;
    revision document;
    std::uint64_t sequence = 0;
    /// Time left of the lease when the message was sent; the receiver stores a deadline.
    std::chrono::milliseconds remaining { 0 };
    std::vector<account_row> accounts;
    std::vector<endpoint_row> endpoints;
};

/// A router that the sender of a beat knows.
struct known_router {
    entry_vm_id id;
    std::string address;
};

/// Says that a router lives, whom it knows, and what it has running. Sent a few times a second as a datagram; each beat
/// stands for itself, so a lost one does no harm.
struct fleet_heartbeat {
    struct endpoint_row {
        wire_key endpoint;
        std::uint32_t running = 0;
        /// Prompt tokens that were sent there and have not been answered yet.
        token_count prefillTokens;
    };

    struct account_row {
        wire_key account;
        /// @{ Tokens that the account lately asked for at this router, and those that were let in.
        token_count askedPerSecond;
        token_count admittedPerSecond;
        /// @}
    };

    entry_vm_id from;
    incarnation_id incarnation;
    failure_domain_id domain;
    /// IP number at which the sender takes beats.
    std::string address;
    /// Grows with each beat of one incarnation, so that an overtaken beat is known as old.
    std::uint64_t sequence = 0;
    revision routes;
    bool isLeaving = false;
    std::vector<known_router> knownRouters;
    std::vector<endpoint_row> endpoints;
    std::vector<account_row> accounts;
};

/// Everything that one daemon says to another.
using peer_message = std::variant<peer_hello, peer_heartbeat, document_request, document_offer, order_forward,
    order_outcome, slot_report, slot_grant, fleet_heartbeat>;

} // namespace kumquatbeam
