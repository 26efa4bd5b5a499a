#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <map>

namespace kumquatbeam {

/// The leases and quotas granted to this router by the arbiter of each domain, until they expire.
class lease_holder {
public:
    /// Applies a grant of the domain's arbiter, which replaces all leases and quotas of the domain.
    void accept(const failure_domain_id&, const slot_grant&, time_point now);

    /// Drops expired leases and quotas.
    void expire(time_point now);

    slot_count leasedSlotsAt(const failure_domain_id&, wire_key endpoint) const;

    slot_count leasedSlotsIn(const failure_domain_id&) const;

    /// When the leases of the domain expire; the clock's epoch when there was no grant.
    time_point expiryOf(const failure_domain_id&) const;

    /// When the next lease expires.
    time_point nextExpiry() const;

    /// Calls of the account that this router may run, summed over all arbiters.
    std::int64_t quotaOf(wire_key account) const;

    /// Service of the account above the least served one; the largest value that an arbiter has reported.
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
