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

/// Knows which endpoints are leaving. One word by any source is enough, and it holds for as long as the endpoint stands
/// at its address; at a new address the name has a new life.
class leaving_endpoints {
public:
    /// Takes over the endpoints of a document. True when an endpoint is newly leaving, or has a new life.
    bool applyDocument(const fleet_document&);

    /// @{ One source says who is leaving. True when an endpoint is newly leaving.
    bool applyMemberList(const member_list&);
    bool recordReport(const endpoint_id&, const std::string& address, std::int64_t port);
    bool recordPeerKeys(const std::vector<wire_key>&);
    /// @}

    bool contains(const endpoint_id& endpoint) const { return m_leaving.contains(endpoint); }

    /// The keys of the leaving endpoints, for peers.
    std::vector<wire_key> keys() const;

private:
    bool markLeaving(const endpoint_id& endpoint) { return m_leaving.insert(endpoint).second; }
    bool applyListed();

    std::map<endpoint_id, wire_key> m_keys;
    std::unordered_map<wire_key, endpoint_id> m_byKey;
    std::set<endpoint_id> m_leaving;
    /// Endpoints that the platform's list calls leaving.
    std::set<endpoint_id> m_listedLeaving;
    /// Endpoints whose listed word belongs to a former life: it does not count until the list has taken it back.
    std::set<endpoint_id> m_staleListed;
};

} // namespace kumquatbeam
