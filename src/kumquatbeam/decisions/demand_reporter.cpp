#include "kumquatbeam/decisions/demand_reporter.hpp"

#include "kumquatbeam/types/wire_key.hpp"

#include <utility>

namespace kumquatbeam {

namespace {

    bool isSame(const slot_report::account_row& left, const slot_report::account_row& right)
    {
        return left.waiting == right.waiting && left.running == right.running && left.served == right.served;
    }

} // namespace

std::optional<slot_report> demand_reporter::reportTo(const entry_vm_id& arbiter, incarnation_id incarnation,
    const domain_set& domains, const pool_view& view, const lease_holder& holder, time_point now)
{
    auto& sent = m_sent[arbiter];
    const bool isNew = sent.incarnation != incarnation || sent.domains != domains;
    const bool isFullReport = isNew || now >= sent.nextFullReportAt;
    if (isNew)
        sent = { incarnation, domains, {}, {}, {} };
    if (isFullReport)
        sent.nextFullReportAt = now + view.leaseDuration;
    slot_report report { .pool = wireKeyOf(view.pool), .document = view.document };
    for (const auto& account : view.accounts) {
        const slot_report::account_row row { wireKeyOf(account.account), static_cast<std::uint32_t>(account.waiting),
            static_cast<std::uint32_t>(account.running), account.served };
        auto& lastSent = sent.accounts[row.account];
        const bool isDueInFullReport = isFullReport && (row.served.value > 0 || row.waiting > 0);
        if (!isSame(row, lastSent) || isDueInFullReport)
            report.accounts.push_back(row);
        lastSent = row;
        if (row.waiting > 0)
            m_reportedDemand.insert(account.account);
        else
            m_reportedDemand.erase(account.account);
    }
    for (const auto& endpoint : view.endpoints) {
        if (!domains.contains(endpoint.domain))
            continue;
        const auto key = wireKeyOf(endpoint.endpoint);
        const sent_endpoint row { holder.leasedSlotsAt(endpoint.domain, key), endpoint.running };
        if (std::exchange(sent.endpoints[key], row) != row || isFullReport)
            report.endpoints.push_back({ key, row.leased, row.running });
    }
    if (report.accounts.empty() && report.endpoints.empty())
        return std::nullopt;
    return report;
}

bool demand_reporter::hasUnreportedDemand(const pool_view& view) const
{
    for (const auto& account : view.accounts) {
        if (account.waiting > 0 && !m_reportedDemand.contains(account.account))
            return true;
    }
    return false;
}

} // namespace kumquatbeam
