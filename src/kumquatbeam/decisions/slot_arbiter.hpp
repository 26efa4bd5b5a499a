#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/fair_division.hpp"
#include "kumquatbeam/decisions/lease_holder.hpp"
#include "kumquatbeam/decisions/service_ledger.hpp"

#include <map>
#include <vector>

namespace kumquatbeam {

/// A grant and the router that receives it.
struct addressed_grant {
    entry_vm_id to;
    slot_grant grant;
};

/// Why an arbiter divides its slots.
enum class division_cause {
    /// The exchange period has passed: grants that change only quotas are sent too.
    Periodic,
    /// A holder needs slots or has released some: apart from due renewals, only grants that change leases are sent. A
    /// change of quotas alone waits for the next periodic division.
    Urgent,
};

/// Divides the slots of one pool in one failure domain between the routers of the fleet.
class slot_arbiter {
public:
    /// Before `gracePeriodEnd` only the leases that holders report are renewed, since other routers may still hold the
    /// rest.
    slot_arbiter(
        failure_domain_id domain, time_point gracePeriodEnd, const lease_holder& priorLeases, const pool_view&);

    /// Applies a holder's report. True when it calls for an urgent division.
    bool receive(const router_presence& from, const slot_report&);

    /// Divides the slots and returns the grants that contain changes or renew a lease.
    std::vector<addressed_grant> divide(const pool_view&, time_point now, division_cause = division_cause::Periodic);

    /// Normalised service of the account, in slot-microseconds per thousandth of a share.
    double normalisedService(const account_backlog&) const;

private:
    /// Slots at one endpoint that a router may hold.
    struct held_slots {
        slot_count granted;
        slot_count leased;
        slot_count running;

        bool isConfirmed() const { return granted == leased; }
        slot_count upperBound() const;
    };
    struct account_demand {
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        std::uint32_t quota = 0;

        std::int64_t total() const { return static_cast<std::int64_t>(waiting) + running; }
    };
    struct router_record {
        incarnation_id incarnation;
        bool isReachable = true;
        std::map<wire_key, account_demand> demands;
        std::map<wire_key, held_slots> slots;
        /// From this time on an unreachable router holds no lease.
        time_point leaseEndsAt = time_point::min();
        time_point renewAt = time_point::min();
        bool hasNewLeases = false;
        bool hasNewQuotas = false;

        slot_count granted() const;
    };
    /// The accounts of the pool, as parallel arrays.
    struct account_table {
        std::vector<wire_key> keys;
        std::vector<double> normalisedServices;
        std::vector<slot_claim> claims;
    };
    /// Total number of slots that each router should hold.
    using lease_targets = std::map<entry_vm_id, std::int32_t>;
    /// Target slots of each account, by router.
    using router_targets = std::map<entry_vm_id, std::vector<double>>;

    void updateReachability(const pool_view&, time_point now);
    void raiseIdleAccounts(const pool_view&);
    account_table buildAccountTable(const pool_view&, double slots, double poolSlots) const;
    router_targets splitOverRouters(const account_table&, const std::vector<double>& targets) const;
    lease_targets leaseTargetsOf(const router_targets&, std::int32_t slots) const;
    void setQuotas(const account_table&, const router_targets&, const lease_targets&);
    void moveLeases(const pool_view&, const lease_targets&);
    void lowerLeases(router_record&, std::int32_t excess);
    bool raiseLease(const pool_view&, router_record&);
    slot_count freeSlotsAt(const endpoint_capacity&, wire_key) const;
    void renewReported(const pool_view&);
    slot_grant grantFor(const router_record&, const pool_view&, const account_table&) const;

    failure_domain_id m_domain;
    time_point m_gracePeriodEnd;
    std::map<entry_vm_id, router_record> m_routers;
    service_ledger m_services;
    /// Added to an account's normalised service: its lead when this arbiter started, and increments that keep idle time
    /// from earning credit.
    std::map<wire_key, double> m_serviceOffsets;
    double m_meanCost = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace kumquatbeam
