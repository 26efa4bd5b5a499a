#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <map>

namespace kumquatbeam {

/// What this router holds: its leases and quotas from the arbiter of each domain, until their deadlines.
class lease_holder {
public:
    /// Takes in the whole of what the domain's arbiter lets this router run.
    void accept(const failure_domain_id&, const slot_grant&, time_point now);

    /// Forgets what has lapsed.
    void expire(time_point now);

    /// Slots leased at the endpoint.
    slot_count leasedSlotsAt(const failure_domain_id&, wire_key endpoint) const;

    /// All slots leased in the domain.
    slot_count leasedSlotsIn(const failure_domain_id&) const;

    /// Until when the leases of the domain last; the start of the clock when there is none.
    time_point expiryOf(const failure_domain_id&) const;

    /// When the next lease ends.
    time_point nextExpiry() const;

    /// Calls of the account that this router may run, by all arbiters.
    std::int64_t quotaOf(wire_key account) const;

    /// Service that the account is ahead of the least served one, by the arbiter that says most.
    service_cost leadOf(wire_key account) const;

private:
    struct domain_grant {
        time_point expiresAt;
        std::map<wire_key, slot_count> leases;
        std::map<wire_key, slot_grant::account_row> accounts;
    };

    std::map<failure_domain_id, domain_grant> m_grants;
};

} // namespace kumquatbeam
