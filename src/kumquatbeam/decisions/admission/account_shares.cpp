#include "kumquatbeam/decisions/admission/account_shares.hpp"

#include "kumquatbeam/decisions/fair_division.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// An account with a lower rate, in tokens per second, counts as idle.
    constexpr double negligibleRate = 1;

} // namespace

account_shares::account_shares(const rate_map& peerRates)
    : m_peerRates(peerRates)
{
}

void account_shares::recordRequested(const client_account_id& account, token_count tokens, time_point now)
{
    rowOf(account).requested.add(static_cast<double>(tokens.value), now);
    if (now >= m_fairRateValidUntil)
        refreshFairRate(now);
}

void account_shares::recordAdmitted(const client_account_id& account, token_count tokens, time_point now)
{
    rowOf(account).admitted.add(static_cast<double>(tokens.value), now);
}

double account_shares::shareUsage(const client_account_id& account, time_point now) const
{
    const auto row = m_accounts.find(account);
    return m_fairRate > 0 && row != m_accounts.end() ? fleetRatesOf(row->second, now).admitted / m_fairRate : 0;
}

std::vector<std::pair<wire_key, account_rates>> account_shares::rates(time_point now) const
{
    std::vector<std::pair<wire_key, account_rates>> found;
    for (const auto& [id, row] : m_accounts) {
        const account_rates own { row.requested.perSecond(now), row.admitted.perSecond(now) };
        if (own.requested >= negligibleRate)
            found.emplace_back(row.key, own);
    }
    return found;
}

account_shares::account_row& account_shares::rowOf(const client_account_id& account)
{
    const auto found = m_accounts.find(account);
    return found != m_accounts.end()
        ? found->second
        : m_accounts.emplace(account, account_row { wireKeyOf(account), {}, {} }).first->second;
}

account_rates account_shares::fleetRatesOf(const account_row& row, time_point now) const
{
    const auto peerRow = m_peerRates.find(row.key);
    account_rates rates { row.requested.perSecond(now), row.admitted.perSecond(now) };
    if (peerRow != m_peerRates.end()) {
        rates.requested += peerRow->second.requested;
        rates.admitted += peerRow->second.admitted;
    }
    return rates;
}

void account_shares::refreshFairRate(time_point now)
{
    m_fairRateValidUntil = now + fairRateLifetime;
    // Accounts whose requests all arrive at other routers claim their share too.
    auto rates = m_peerRates;
    for (const auto& [id, row] : m_accounts)
        rates[row.key] = fleetRatesOf(row, now);
    std::vector<slot_claim> claims;
    double admitted = 0;
    for (const auto& [key, rate] : rates) {
        claims.push_back({ .share = 1, .demand = rate.requested });
        admitted += rate.admitted;
    }
    const auto allocations = waterFill(claims, std::max(m_capacity, admitted));
    m_fairRate = 0;
    for (std::size_t i = 0; i < allocations.size(); ++i) {
        if (allocations[i] + negligibleRate < claims[i].demand)
            m_fairRate = std::max(m_fairRate, allocations[i]);
    }
}

} // namespace kumquatbeam
