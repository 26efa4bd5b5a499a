#include "kumquatbeam/decisions/leaving_endpoints.hpp"

#include <utility>

namespace kumquatbeam {

bool leaving_endpoints::applyDocument(const fleet_document& document)
{
    auto previousKeys = std::exchange(m_keys, {});
    m_byKey.clear();
    bool hasChanged = false;
    for (const auto& [id, endpoint] : document.endpoints) {
        const auto key = addressKeyOf(endpoint);
        m_keys.emplace(id, key);
        m_byKey.emplace(key, id);
        const auto old = previousKeys.find(id);
        if (old == previousKeys.end() || old->second == key)
            continue;
        hasChanged |= m_leaving.erase(id) > 0;
        if (m_listedLeaving.contains(id))
            m_staleListed.insert(id);
    }
    std::erase_if(m_leaving, [&](const endpoint_id& id) { return !m_keys.contains(id); });
    return applyListed() || hasChanged;
}

bool leaving_endpoints::applyMemberList(const member_list& members)
{
    m_listedLeaving.clear();
    for (const auto& [id, machine] : members.endpointMachines) {
        if (machine.isLeaving)
            m_listedLeaving.insert(id);
    }
    std::erase_if(m_staleListed, [&](const endpoint_id& id) { return !m_listedLeaving.contains(id); });
    return applyListed();
}

bool leaving_endpoints::recordReport(const endpoint_id& endpoint, const std::string& address, std::int64_t port)
{
    // A report from a former address of the endpoint is about an earlier instance.
    const auto known = m_keys.find(endpoint);
    endpoint_description reporter;
    reporter.id = endpoint;
    reporter.address = address;
    reporter.port = port;
    return known != m_keys.end() && known->second == addressKeyOf(reporter) && markLeaving(endpoint);
}

bool leaving_endpoints::recordPeerKeys(const std::vector<wire_key>& keys)
{
    bool hasChanged = false;
    for (const auto& key : keys) {
        const auto known = m_byKey.find(key);
        if (known != m_byKey.end())
            hasChanged |= markLeaving(known->second);
    }
    return hasChanged;
}

std::vector<wire_key> leaving_endpoints::keys() const
{
    std::vector<wire_key> keys;
    for (const auto& endpoint : m_leaving)
        keys.push_back(m_keys.at(endpoint));
    return keys;
}

bool leaving_endpoints::applyListed()
{
    bool hasChanged = false;
    for (const auto& endpoint : m_listedLeaving) {
        if (m_keys.contains(endpoint) && !m_staleListed.contains(endpoint))
            hasChanged |= markLeaving(endpoint);
    }
    return hasChanged;
}

} // namespace kumquatbeam
