#pragma once

#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/decisions/admission/account_shares.hpp"
#include "kumquatbeam/decisions/admission/return_schedule.hpp"
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

/// One pool as known to this router: its endpoints with their load, and the account shares, the retry budget and the
/// placement strategy of the pool.
class dispatch_pool {
public:
    /// Time for which an endpoint is not used after another one has answered at its address. By then the directory
    /// shows which endpoint has the address.
    static constexpr std::chrono::seconds replacedCooldown { 3 };

    dispatch_pool(const routed_pool&, const shared_retry_budget::limits&, const fleet_controller&);

    /// Updates the endpoints from the announced ones; endpoints that remain keep their load.
    void refresh(const route_table&, const std::map<endpoint_id, announced_endpoint>&);

    /// Updates the load that the other routers have placed on the endpoints.
    void updatePeerLoad();

    /// Makes endpoints whose address was taken by another one usable again, after the directory has changed.
    void clearReplaced() { m_replaced.clear(); }

    const std::vector<endpoint_view>& endpoints() const { return m_endpoints; }
    bool isEjected(const endpoint_id& endpoint) const { return m_health.isEjected(endpoint); }

    /// Records that an incarnation of an endpoint asks this router to send it nothing until then. Returns false if it
    /// has asked for as much before.
    bool recordQuiet(const endpoint_id&, std::int64_t incarnation, time_point until);

    /// When the first endpoint may be used again, if all endpoints that could be used otherwise have asked for quiet.
    std::optional<time_point> quietUntil(time_point now) const;

    /// Whether any endpoint is usable, whatever its load.
    bool hasUsableEndpoint(time_point now) const;

    /// The endpoint for a request that is sent now, except those already tried; nothing if none can start it in time.
    std::optional<placement> choose(const request_context&, const failure_domain_id& ownDomain,
        const std::set<endpoint_id>& tried, time_point now) const;

    /// @{ Record the tokens that accounts request and are granted.
    void recordRequested(const request_context&, time_point now);
    void recordAdmitted(const request_context&, time_point now);
    /// @}

    /// Requested and admitted rates of the accounts with recent requests at this router.
    std::vector<std::pair<wire_key, account_rates>> rates(time_point now) const { return m_shares.rates(now); }

    /// When a caller that is refused now is told to retry, within the window.
    time_point returnTimeFor(const request_context&, return_schedule::return_window, time_point now) const;

    /// Records that a caller is told to return then.
    void recordReturn(const request_context&, time_point returnAt);

    /// Withdraws one retry from the budget; returns false if the budget is exhausted.
    bool tryWithdrawRetry(time_point now) { return m_retries.tryWithdraw(m_fleet.maxServingRouters(), now); }

    /// @{ Record that a call was placed on an endpoint, that its prompt was prefilled, and that it ended.
    void recordPlaced(const prompt_metadata&, const placement&, time_point now);
    void recordPrefilled(const endpoint_id&, token_count prefilled);
    void recordEnded(const endpoint_id&, token_count pendingPrefill);
    /// @}

    /// Updates the endpoint's health with the outcome of an attempt.
    void recordOutcome(const attempt_ended&, time_point now);

private:
    /// A request of an endpoint to be left alone.
    struct quiet_period {
        std::int64_t incarnation = 0;
        time_point until {};
    };

    endpoint_view* find(const endpoint_id&);
    bool mayUseWhenNotQuiet(const endpoint_view&, time_point now) const;
    bool isQuiet(const endpoint_id&, time_point now) const;
    bool mayUse(const endpoint_view&, time_point now) const;
    std::chrono::microseconds waitLimitOf(const request_context&, time_point now) const;

    pool_id m_id;
    const fleet_controller& m_fleet;
    std::unique_ptr<placement_strategy> m_strategy;
    std::vector<endpoint_view> m_endpoints;
    endpoint_health m_health;
    shared_retry_budget m_retries;
    account_shares m_shares;
    /// Tokens of the calls that this router starts.
    decayed_rate m_started;
    return_schedule m_returns;
    /// Endpoints at whose address another one has answered, and when each may be used again.
    std::map<endpoint_id, time_point> m_replaced;
    std::map<endpoint_id, quiet_period> m_quiet;
};

} // namespace kumquatbeam
