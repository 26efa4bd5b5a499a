#pragma once

#include "kumquatbeam/settings/setting_row.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquatbeam {

/// A client account: its credential, its share of every pool and its limits.
struct client_account {
    client_account_id id;
    team_id owner;
    account_share share { 1000 };
    /// SHA-256 of the account's credential, in lower-case hexadecimal.
    std::string credentialDigest;
    /// Requests that may wait in one router.
    std::int64_t queueLimit = 200;
    /// Order tickets that may be open in one router.
    std::int64_t ticketLimit = 2000;
};

/// A pool of endpoints that serve the same calls.
struct endpoint_pool {
    pool_id id;
    team_id owner;
    /// Whether a write call may be retried after a byte of it was sent.
    bool isRepeatable = true;
    /// Whether the endpoints can resume an interrupted answer by offset.
    bool canResume = false;
    /// Timeout of a call for which the caller gives no deadline.
    std::chrono::milliseconds timeout { 60000 };
    /// Period of the exchange that divides the pool's slots between routers.
    std::chrono::milliseconds exchangePeriod { 1500 };
    /// Duration of a slot lease without renewal.
    std::chrono::milliseconds leaseDuration { 4500 };
};

/// An endpoint as described by the operators.
struct endpoint_description {
    endpoint_id id;
    team_id owner;
    pool_id pool;
    failure_domain_id domain;
    std::string address;
    std::int64_t port = 0;
    slot_count slots { 1 };
    /// Whether the endpoint refuses orders with an outdated fencing number.
    bool checksFencing = false;
};

/// Key of an endpoint at its address: a hash of its name, address and port. An endpoint that moves gets another key.
wire_key addressKeyOf(const endpoint_description&);

/// The operators' document in parsed form.
struct fleet_document {
    revision revisionNumber;
    std::map<client_account_id, client_account> accounts;
    std::map<pool_id, endpoint_pool> pools;
    std::map<endpoint_id, endpoint_description> endpoints;
};

/// Result of parsing a document: the document and every failure found in it.
struct document_parse_result {
    fleet_document document;
    std::vector<failure> faults;

    bool isAccepted() const { return faults.empty(); }
};

/// Parses and checks a document. The result depends only on the text, so every router accepts or refuses the same
/// revisions.
document_parse_result parseDocument(revision, const std::string& text);

/// @{ Settings tables of each kind of section.
std::span<const setting_row<client_account>> clientAccountTable();
std::span<const setting_row<endpoint_pool>> endpointPoolTable();
std::span<const setting_row<endpoint_description>> endpointTable();
/// @}

} // namespace kumquatbeam
