#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <cstdint>
#include <string_view>

namespace kumquatbeam {

/// Weight of a candidate for a key in rendezvous hashing: the candidate with the highest weight has the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// Says which router arbitrates which endpoints, and so who talks to whom.
class arbiter_assignment {
public:
    virtual ~arbiter_assignment() = default;

    /// The router that arbitrates the pool's endpoints of the domain, as this router sees it; empty when there is none.
    virtual entry_vm_id arbiterOf(const pool_view&, const failure_domain_id&) const = 0;
};

/// One arbiter for each pool and failure domain: a reachable router of the domain. Where the member list names no
/// router of the domain, any reachable router may arbitrate.
class domain_assignment final : public arbiter_assignment {
public:
    entry_vm_id arbiterOf(const pool_view&, const failure_domain_id&) const override;
};

} // namespace kumquatbeam
