#include "kumquatbeam/decisions/lease_holder.hpp"

#include <algorithm>

namespace kumquatbeam {

void lease_holder::accept(const failure_domain_id& domain, const slot_grant& grant, time_point now)
{
    auto& held = m_grants[domain];
    held.expiresAt = now + grant.remaining;
    held.leases.clear();
    for (const auto& row : grant.endpoints)
        held.leases[row.endpoint] = row.leased;
    // Accounts missing from this grant keep their lead, which initialises an arbiter that takes over at this router.
    for (auto& [account, row] : held.accounts)
        row.quota = 0;
    for (const auto& row : grant.accounts)
        held.accounts[row.account] = row;
}

void lease_holder::expire(time_point now)
{
    for (auto& [domain, held] : m_grants) {
        if (now < held.expiresAt)
            continue;
        held.leases.clear();
        for (auto& [account, row] : held.accounts)
            row.quota = 0;
    }
}

slot_count lease_holder::leasedSlotsAt(const failure_domain_id& domain, wire_key endpoint) const
{
    const auto held = m_grants.find(domain);
    if (held == m_grants.end())
        return {};
    const auto lease = held->second.leases.find(endpoint);
    return lease == held->second.leases.end() ? slot_count {} : lease->second;
}

slot_count lease_holder::leasedSlotsIn(const failure_domain_id& domain) const
{
    slot_count sum;
    const auto held = m_grants.find(domain);
    if (held != m_grants.end()) {
        for (const auto& [endpoint, slots] : held->second.leases)
            sum += slots;
    }
    return sum;
}

time_point lease_holder::expiryOf(const failure_domain_id& domain) const
{
    const auto held = m_grants.find(domain);
    return held == m_grants.end() ? time_point {} : held->second.expiresAt;
}

time_point lease_holder::nextExpiry() const
{
    time_point earliest = never;
    for (const auto& [domain, held] : m_grants) {
        if (!held.leases.empty())
            earliest = std::min(earliest, held.expiresAt);
    }
    return earliest;
}

std::int64_t lease_holder::quotaOf(wire_key account) const
{
    std::int64_t sum = 0;
    for (const auto& [domain, held] : m_grants) {
        if (const auto row = held.accounts.find(account); row != held.accounts.end())
            sum += row->second.quota;
    }
    return sum;
}

service_cost lease_holder::leadOf(wire_key account) const
{
    service_cost most;
    for (const auto& [domain, held] : m_grants) {
        if (const auto row = held.accounts.find(account); row != held.accounts.end())
            most = std::max(most, row->second.lead);
    }
    return most;
}

} // namespace kumquatbeam
