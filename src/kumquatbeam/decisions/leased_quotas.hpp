#pragma once

#include "kumquatbeam/decisions/arbiter_assignment.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/demand_reporter.hpp"
#include "kumquatbeam/decisions/lease_holder.hpp"
#include "kumquatbeam/decisions/slot_arbiter.hpp"

#include <map>
#include <memory>
#include <set>

namespace kumquatbeam {

/// The arbiter of each failure domain leases slots to routers, with a quota for each account. A holder refills its
/// leased slots itself when calls end. See docs/DESIGN-FAIRNESS.md.
class leased_quotas final : public capacity_strategy {
public:
    explicit leased_quotas(std::unique_ptr<arbiter_assignment> assignment = std::make_unique<domain_assignment>())
        : m_assignment(std::move(assignment))
    {
    }

    std::string_view name() const override { return "leased-quotas"; }
    std::optional<placement_choice> choose(const pool_view&, time_point now) override;
    void receive(const entry_vm_id& from, const peer_message&, const pool_view&, time_point now) override;
    time_point nextExchange() const override;
    std::vector<addressed_message> exchange(const pool_view&, time_point now) override;
    strategy_state describe(const pool_view&) const override;

private:
    void receiveReport(const entry_vm_id& from, const slot_report&, const pool_view&, time_point now);
    void receiveGrant(const entry_vm_id& from, const slot_grant&, const pool_view&, time_point now);
    const account_backlog* nextAccount(const pool_view&) const;
    slot_count slotsAt(const pool_view&, std::size_t endpointIndex, time_point now) const;
    slot_count fallbackSlots(const pool_view&, std::size_t endpointIndex) const;
    void updateArbiters(const pool_view&, time_point now);
    void sendReports(const pool_view&, time_point now, std::vector<addressed_message>&);
    void sendConfirmations(const pool_view&, time_point now, std::vector<addressed_message>&);
    void sendReport(const entry_vm_id& arbiter, const demand_reporter::domain_set&, const pool_view&, time_point now,
        std::vector<addressed_message>&);
    void sendGrants(const pool_view&, time_point now, std::vector<addressed_message>&);

    std::unique_ptr<arbiter_assignment> m_assignment;
    lease_holder m_holder;
    demand_reporter m_reporter;
    /// The domains that this router arbitrates.
    std::map<failure_domain_id, slot_arbiter> m_arbiters;
    /// The arbiter of each domain, from this router's view of the fleet.
    std::map<failure_domain_id, entry_vm_id> m_arbiterByDomain;
    /// Without a first grant, no static slice is used before this time, since other routers may hold leases of the
    /// slots.
    time_point m_fallbackAt = never;
    time_point m_reportAt = time_point::min();
    time_point m_reportedAt = time_point::min();
    /// When to confirm to the arbiters that this router has released slots, and the domains of these slots.
    time_point m_confirmAt = never;
    time_point m_confirmedAt = time_point::min();
    std::set<failure_domain_id> m_unconfirmed;
    /// The next urgent division, and the next periodic one.
    time_point m_urgentDivideAt = never;
    time_point m_divideAt = time_point::min();
    time_point m_dividedAt = time_point::min();
};

} // namespace kumquatbeam
