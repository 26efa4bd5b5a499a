#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <cstdint>
#include <string_view>

namespace kumquatbeam {

/// Rendezvous hashing weight of a candidate for a key; the candidate with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Assigns an arbiter to each pool and failure domain, which also determines the routers that exchange messages.
class arbiter_assignment {
public:
    virtual ~arbiter_assignment() = default;

    /// The router that arbitrates the pool's endpoints in the domain, from this router's view of the fleet; empty when
    /// there is none.
    virtual entry_vm_id arbiterOf(const pool_view&, const failure_domain_id&) const = 0;
};

/// One arbiter for each pool and failure domain, chosen among the reachable routers of the domain. When the member list
/// has no router in the domain, any reachable router can be chosen.
class domain_assignment final : public arbiter_assignment {
public:
    entry_vm_id arbiterOf(const pool_view&, const failure_domain_id&) const override;
};

} // namespace kumquatbeam
