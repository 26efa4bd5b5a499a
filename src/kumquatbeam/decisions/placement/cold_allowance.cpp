#include "kumquatbeam/decisions/placement/cold_allowance.hpp"

#include "kumquatbeam/decisions/placement/mix_bits.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>

namespace kumquatbeam {

cold_allowance::cold_allowance(const entry_vm_id& self)
    : m_self(wireKeyOf(self))
{
}

void cold_allowance::setLimit(double requestsPerSecond)
{
    const auto divided = static_cast<std::size_t>(requestsPerSecond * dividedFraction);
    if (divided == m_divided)
        return;
    m_divided = divided;
    m_shares.clear();
    if (m_divided == 0)
        m_sent.clear();
}

void cold_allowance::setRouters(const std::vector<entry_vm_id>& routers)
{
    m_others.clear();
    for (const auto& router : routers) {
        if (const auto key = wireKeyOf(router); key != m_self)
            m_others.push_back(key);
    }
    m_shares.clear();
}

std::size_t cold_allowance::shareOf(wire_key endpoint) const
{
    const auto known = m_shares.find(endpoint);
    if (known != m_shares.end())
        return known->second;
    const auto owners = ownerCount();
    const auto own = rankOf(endpoint, m_self);
    const auto before = static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.end(), [&](wire_key router) {
        const auto rank = rankOf(endpoint, router);
        return rank > own || (rank == own && router > m_self);
    }));
    return m_shares[endpoint] = before < owners ? m_divided / owners : 0;
}

bool cold_allowance::admits(wire_key endpoint, time_point now) const
{
    const auto share = shareOf(endpoint);
    const auto sent = m_sent.find(endpoint);
    if (share == 0 || sent == m_sent.end())
        return share > 0;
    const auto recent
        = std::count_if(sent->second.begin(), sent->second.end(), [&](time_point at) { return now < at + window; });
    return static_cast<std::size_t>(recent) < share;
}

void cold_allowance::recordSent(wire_key endpoint, time_point now)
{
    if (m_divided == 0)
        return;
    auto& sent = m_sent[endpoint];
    std::erase_if(sent, [&](time_point at) { return now >= at + window; });
    // No share is larger than this, so older times make no difference.
    if (sent.size() >= m_divided)
        sent.erase(sent.begin());
    sent.push_back(now);
}

std::uint64_t cold_allowance::rankOf(wire_key endpoint, wire_key router) const
{
    return mixBits(endpoint.value ^ mixBits(router.value));
}

std::size_t cold_allowance::ownerCount() const
{
    return std::min({ ownerLimit, m_others.size() + 1, m_divided });
}

} // namespace kumquatbeam
