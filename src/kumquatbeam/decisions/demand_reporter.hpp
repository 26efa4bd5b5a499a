#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/lease_holder.hpp"

#include <functional>
#include <map>
#include <set>

namespace kumquatbeam {

/// Writes this router's reports: to each arbiter the rows that changed, and all rows again once in a while, so that a
/// lost report does no lasting harm.
class demand_reporter {
public:
    using domain_set = std::set<failure_domain_id>;

    /// The report to an arbiter about what it arbitrates, or nothing when all of it is known there.
    std::optional<slot_report> reportTo(const entry_vm_id& arbiter, incarnation_id incarnation, const domain_set&,
        const pool_view&, const lease_holder&, time_point now);

    /// Whether work waits of an account that no arbiter has been told of.
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
