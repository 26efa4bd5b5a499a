#pragma once

#include "kumquatbeam/decisions/local_strategy.hpp"
#include "kumquatbeam/decisions/service_ledger.hpp"

namespace kumquatbeam {

/// Baseline: routers exchange service counters once per exchange period, and the account with the least service per
/// share over the whole fleet is served next. No slots move between routers.
class shared_counters final : public capacity_strategy {
public:
    explicit shared_counters(slot_division division)
        : m_division(division)
    {
    }

    std::string_view name() const override;
    std::optional<placement_choice> choose(const pool_view&, time_point now) override;
    void receive(const entry_vm_id& from, const peer_message&, const pool_view&, time_point now) override;
    time_point nextExchange() const override { return m_exchangeAt; }
    std::vector<addressed_message> exchange(const pool_view&, time_point now) override;

private:
    double normalisedService(const account_backlog&) const;

    slot_division m_division;
    service_ledger m_peerService;
    std::map<wire_key, service_cost> m_sent;
    time_point m_exchangeAt = time_point::min();
};

} // namespace kumquatbeam
