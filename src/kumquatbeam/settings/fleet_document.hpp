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

/// A client account: who may call, and its share of every pool.
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
    /// Whether a write call may be sent again after a byte of it went out.
    bool isRepeatable = true;
    /// Whether the endpoints can resume a broken answer by offset.
    bool canResume = false;
    /// Time that the router allows a call when the caller states no deadline.
    std::chrono::milliseconds timeout { 60000 };
    /// Beat of the exchange that divides the pool's slots between routers.
    std::chrono::milliseconds exchangePeriod { 1500 };
    /// Time that a lease on slots lasts without renewal.
    std::chrono::milliseconds leaseDuration { 4500 };
};

/// One endpoint as the operators describe it.
struct endpoint_description {
    endpoint_id id;
    team_id owner;
    pool_id pool;
    failure_domain_id domain;
    std::string address;
    std::int64_t port = 0;
    slot_count slots { 1 };
    /// Whether the endpoint refuses orders that carry an old fencing number.
    bool checksFencing = false;
};

/// The key of one life of an endpoint: its name at its address. An endpoint that moves gets another key.
wire_key addressKeyOf(const endpoint_description&);

/// The operators' long document once it has been accepted.
struct fleet_document {
    revision revisionNumber;
    std::map<client_account_id, client_account> accounts;
    std::map<pool_id, endpoint_pool> pools;
    std::map<endpoint_id, endpoint_description> endpoints;
};

/// What became of a document's text: the document, and every fault that was found in it.
struct document_parse_result {
    fleet_document document;
    std::vector<failure> faults;

    bool isAccepted() const { return faults.empty(); }
};

/// Parses and checks a document. A pure function of its text, so that every router comes to the same verdict.
document_parse_result parseDocument(revision, const std::string& text);

/// @{ Tables of the keys that each kind of section has.
std::span<const setting_row<client_account>> clientAccountTable();
std::span<const setting_row<endpoint_pool>> endpointPoolTable();
std::span<const setting_row<endpoint_description>> endpointTable();
/// @}

} // namespace kumquatbeam
