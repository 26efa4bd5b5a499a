#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/units.hpp"

#include <map>
#include <vector>

namespace kumquatbeam {

/// Service of accounts over the whole fleet: a counter for each router and account, merged by maximum, so that
/// duplicate and reordered reports change nothing. Service before a router's first report is not counted.
class service_ledger {
public:
    /// Merges counters of a router incarnation. A new incarnation starts from zero and does not reduce the totals.
    void record(const entry_vm_id& router, incarnation_id incarnation, const std::vector<slot_report::account_row>&);

    /// Service of the account since the ledger started.
    service_cost total(wire_key account) const;

private:
    struct router_counters {
        incarnation_id incarnation;
        std::map<wire_key, service_cost> highest;
    };

    std::map<entry_vm_id, router_counters> m_routers;
    std::map<wire_key, service_cost> m_totals;
};

} // namespace kumquatbeam
