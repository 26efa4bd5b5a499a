#pragma once

#include "kumquatbeam/types/strong_value.hpp"

#include <cstdint>
#include <string>

namespace kumquatbeam {

/// Name of a client account, as given in the operators' document.
using client_account_id = strong_value<struct client_account_tag, std::string>;

/// Name of one endpoint: a model engine or a plain service instance.
using endpoint_id = strong_value<struct endpoint_tag, std::string>;

/// Name of a pool: the endpoints that can serve the same calls.
using pool_id = strong_value<struct pool_tag, std::string>;

/// Name of a virtual machine that runs a router daemon.
using entry_vm_id = strong_value<struct entry_vm_tag, std::string>;

/// Name of a failure domain.
using failure_domain_id = strong_value<struct failure_domain_tag, std::string>;

/// Name of a team that owns sections of the operators' document.
using team_id = strong_value<struct team_tag, std::string>;

/// One run of a router process. Drawn at random at start, to distinguish a restarted router from its previous run.
using incarnation_id = strong_value<struct incarnation_tag, std::uint64_t>;

/// Revision of a document that the platform publishes; it only increases.
using revision = strong_value<struct revision_tag, std::uint64_t>;

/// Generation of the published data. It increases when the store that publishes it was restored from an older copy, so
/// that revisions go back and are given out again.
using source_era = strong_value<struct source_era_tag, std::uint64_t>;

/// Id of a request, unique within one router incarnation.
using request_id = strong_value<struct request_tag, std::uint64_t>;

/// The id that a caller gave its request. Callers generate a new one for each request that they send.
using caller_request_id = strong_value<struct caller_request_tag, std::string>;

/// Name of a route of the route table.
using route_id = strong_value<struct route_tag, std::string>;

/// Number of an event in an event stream; it only increases within a stream.
using event_number = strong_value<struct event_number_tag, std::uint64_t>;

/// Short identifier of an account, pool or endpoint in messages between daemons: a hash of its name, or of an
/// endpoint's name and address.
using wire_key = strong_value<struct wire_key_tag, std::uint32_t>;

} // namespace kumquatbeam
