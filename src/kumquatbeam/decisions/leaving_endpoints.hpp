#pragma once

#include "kumquatbeam/settings/fleet_document.hpp"
#include "kumquatbeam/settings/member_list.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// Tracks which endpoints are leaving. A report by any one source is enough, and it applies as long as the endpoint
/// keeps its address. An endpoint at a new address is a new instance.
class leaving_endpoints {
public:
    /// Applies the endpoints of a document. True when an endpoint is newly leaving, or a new instance replaces a
    /// leaving one.
    bool applyDocument(const fleet_document&);

    /// @{ Applies one source's report of leaving endpoints. True when an endpoint is newly leaving.
    bool applyMemberList(const member_list&);
    bool recordReport(const endpoint_id&, const std::string& address, std::int64_t port);
    bool recordPeerKeys(const std::vector<wire_key>&);
    /// @}

    bool contains(const endpoint_id& endpoint) const { return m_leaving.contains(endpoint); }

    /// The keys of the leaving endpoints, as sent to peers.
    std::vector<wire_key> keys() const;

private:
    bool markLeaving(const endpoint_id& endpoint) { return m_leaving.insert(endpoint).second; }
    bool applyListed();

    std::map<endpoint_id, wire_key> m_keys;
    std::unordered_map<wire_key, endpoint_id> m_byKey;
    std::set<endpoint_id> m_leaving;
    /// Endpoints that the platform's member list marks as leaving.
    std::set<endpoint_id> m_listedLeaving;
    /// Endpoints whose mark in the list belongs to an earlier instance; the mark is ignored until the list has cleared
    /// it.
    std::set<endpoint_id> m_staleListed;
};

} // namespace kumquatbeam
