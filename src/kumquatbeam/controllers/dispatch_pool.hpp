#pragma once

#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/decisions/admission/account_shares.hpp"
#include "kumquatbeam/decisions/endpoint_health.hpp"
#include "kumquatbeam/decisions/placement/placement_strategy.hpp"
#include "kumquatbeam/decisions/shared_retry_budget.hpp"
#include "kumquatbeam/settings/route_table.hpp"
#include "kumquatbeam/types/request_context.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace kumquatbeam {

/// One pool as this router sees it: its endpoints and what runs there, and the shares, the budget and the strategy that
/// decide about calls to it.
class dispatch_pool {
public:
    /// Time for which an endpoint is not used after another one has answered at its address. The directory shows by
    /// then which endpoint has it.
    static constexpr std::chrono::seconds replacedCooldown { 3 };

    dispatch_pool(const routed_pool&, const shared_retry_budget::limits&, const fleet_controller&);

    /// Takes in what is announced now; an endpoint that stays keeps its load.
    void refresh(const route_table&, const std::map<endpoint_id, announced_endpoint>&);

    /// Takes in what the other routers have running.
    void updatePeerLoad();

    /// Believes again in the endpoints at whose address another one has answered, as the directory has changed.
    void clearReplaced() { m_replaced.clear(); }

    const std::vector<endpoint_view>& endpoints() const { return m_endpoints; }
    bool isEjected(const endpoint_id& endpoint) const { return m_health.isEjected(endpoint); }

    /// Whether any endpoint may be used at all.
    bool hasUsableEndpoint(time_point now) const;

    /// Where a request would go, were it sent now to an endpoint that has not been tried; nothing where none can take
    /// it in time.
    std::optional<placement> choose(const request_context&, const failure_domain_id& ownDomain,
        const std::set<endpoint_id>& tried, time_point now) const;

    /// @{ What accounts ask for and are given, in tokens.
    void recordAsked(const request_context&, time_point now);
    void recordAdmitted(const request_context&, time_point now);
    /// @}

    /// What the accounts with recent requests at this router asked for and were given.
    std::vector<std::pair<wire_key, account_rates>> rates(time_point now) const { return m_shares.rates(now); }

    /// Pays for one repeat of a call, or returns false when the budget is spent.
    bool tryWithdrawRetry(time_point now) { return m_retries.tryWithdraw(m_fleet.maxServingRouters(), now); }

    /// @{ A call goes to an endpoint, has been read there, and has ended.
    void recordPlaced(const prompt_metadata&, const placement&, time_point now);
    void recordPrefilled(const endpoint_id&, token_count prefilled);
    void recordEnded(const endpoint_id&, token_count pendingPrefill);
    /// @}

    /// Takes in how an attempt ended, for the endpoint's health.
    void recordOutcome(const attempt_ended&, time_point now);

private:
    endpoint_view* find(const endpoint_id&);
    bool mayUse(const endpoint_view&, time_point now) const;
    std::chrono::microseconds waitLimitOf(const request_context&, time_point now) const;

    pool_id m_id;
    const fleet_controller& m_fleet;
    std::unique_ptr<placement_strategy> m_strategy;
    std::vector<endpoint_view> m_endpoints;
    endpoint_health m_health;
    shared_retry_budget m_retries;
    account_shares m_shares;
    /// Endpoints at whose address another one has answered, and until when that is believed.
    std::map<endpoint_id, time_point> m_replaced;
};

} // namespace kumquatbeam
