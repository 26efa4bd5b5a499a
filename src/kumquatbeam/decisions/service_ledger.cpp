#include "kumquatbeam/decisions/service_ledger.hpp"

namespace kumquatbeam {

void service_ledger::record(
    const entry_vm_id& router, incarnation_id incarnation, const std::vector<slot_report::account_row>& rows)
{
    const auto [entry, isNewRouter] = m_routers.try_emplace(router, router_counters { incarnation, {} });
    auto& counters = entry->second;
    if (counters.incarnation != incarnation)
        counters = { incarnation, {} };
    for (const auto& row : rows) {
        auto& highest = counters.highest[row.account];
        if (row.served <= highest)
            continue;
        if (!isNewRouter)
            m_totals[row.account] += row.served - highest;
        highest = row.served;
    }
}

service_cost service_ledger::total(wire_key account) const
{
    const auto entry = m_totals.find(account);
    return entry == m_totals.end() ? service_cost {} : entry->second;
}

} // namespace kumquatbeam
