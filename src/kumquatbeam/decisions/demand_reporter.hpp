#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/lease_holder.hpp"

#include <functional>
#include <map>
#include <set>

namespace kumquatbeam {

/// Builds this router's reports to the arbiters: the rows that changed, and all rows once per lease duration, so that
/// the effect of a lost report is bounded.
class demand_reporter {
public:
    using domain_set = std::set<failure_domain_id>;

    /// The report to an arbiter about the domains that it arbitrates, or nothing when there are no rows to send.
    std::optional<slot_report> reportTo(const entry_vm_id& arbiter, incarnation_id incarnation, const domain_set&,
        const pool_view&, const lease_holder&, time_point now);

    /// Whether an account has waiting requests and no arbiter has been sent a report of them.
    bool hasUnreportedDemand(const pool_view&) const;

private:
    struct sent_endpoint {
        slot_count leased;
        slot_count running;

        friend bool operator==(const sent_endpoint&, const sent_endpoint&) = default;
    };
    struct sent_rows {
        incarnation_id incarnation;
        domain_set domains;
        time_point nextFullReportAt {};
        std::map<wire_key, slot_report::account_row> accounts;
        std::map<wire_key, sent_endpoint> endpoints;
    };

    std::map<entry_vm_id, sent_rows> m_sent;
    std::set<client_account_id> m_reportedDemand;
};

} // namespace kumquatbeam
