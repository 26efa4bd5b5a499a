#pragma once

#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/decisions/admission/account_shares.hpp"
#include "kumquatbeam/decisions/endpoint_health.hpp"
#include "kumquatbeam/decisions/placement/placement_strategy.hpp"
#include "kumquatbeam/decisions/placement/pool_speeds.hpp"
#include "kumquatbeam/decisions/shared_retry_budget.hpp"
#include "kumquatbeam/settings/route_table.hpp"
#include "kumquatbeam/types/endpoint_load.hpp"
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

    /// Time for which the load that an endpoint reported counts for placement.
    static constexpr std::chrono::milliseconds reportRetention { 1000 };

    dispatch_pool(const routed_pool&, const shared_retry_budget::limits&, const fleet_controller&);

    /// Updates the endpoints from the announced ones; incarnations that remain keep their load and learned rate.
    void refresh(const route_table&, const std::map<endpoint_id, announced_endpoint>&);

    /// Updates the load that the other routers have placed on the endpoints, and takes in the rates they measured.
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

    /// Withdraws one retry from the budget; returns false if the budget is exhausted.
    bool tryWithdrawRetry(time_point now) { return m_retries.tryWithdraw(m_fleet.maxServingRouters(), now); }

    /// Records that a call was placed on an endpoint. Returns the prompt tokens that the endpoint has to prefill before
    /// the first event of the call, including those of the call.
    token_count recordPlaced(const prompt_metadata&, const placement&, time_point now);

    /// @{ Record that the prompt of a call at an incarnation of an endpoint was prefilled, and that the call ended.
    void recordPrefilled(const endpoint_id&, std::int64_t incarnation, token_count prefilled);
    void recordEnded(const endpoint_id&, std::int64_t incarnation, token_count pendingPrefill);
    /// @}

    /// @{ Record what this router learned of the speed and the load of an incarnation of an endpoint.
    void recordSpeed(const endpoint_id&, std::int64_t incarnation, const prefill_sample&, time_point now);
    void recordLoad(const endpoint_load&, std::int64_t incarnation, time_point now);
    /// @}

    /// Takes the rate to report for an endpoint; see `endpoint_speed::takeReport`.
    std::uint16_t takeRateReport(const endpoint_view& row, time_point now)
    {
        return m_speeds.takeReport(indexOf(row), now);
    }

    /// Whether something is known of the speed of an endpoint.
    bool hasLearnedRate(const endpoint_view& row) const { return m_speeds.at(indexOf(row)).hasLearned(); }

    /// When `updateSpeeds` is due.
    time_point nextSpeedUpdate() const { return m_speeds.nextUpdate(); }

    /// Updates the prefill rates, and returns the changes to log.
    std::vector<speed_change> updateSpeeds(time_point now) { return m_speeds.update(m_endpoints, now); }

    /// Updates the endpoint's health with the outcome of an attempt.
    void recordOutcome(const attempt_ended&, time_point now);

private:
    /// A request of an endpoint to be left alone.
    struct quiet_period {
        std::int64_t incarnation = 0;
        time_point until {};
    };

    endpoint_view* find(const endpoint_id&);
    /// The row of the endpoint if it is still this incarnation; otherwise null.
    endpoint_view* find(const endpoint_id&, std::int64_t incarnation);
    std::size_t indexOf(const endpoint_view& row) const { return static_cast<std::size_t>(&row - m_endpoints.data()); }
    bool mayUseWhenNotQuiet(const endpoint_view&, time_point now) const;
    bool isQuiet(const endpoint_id&, time_point now) const;
    bool mayUse(const endpoint_view&, time_point now) const;
    std::chrono::microseconds waitLimitOf(const request_context&, time_point now) const;

    pool_id m_id;
    const fleet_controller& m_fleet;
    std::unique_ptr<placement_strategy> m_strategy;
    std::vector<endpoint_view> m_endpoints;
    pool_speeds m_speeds;
    endpoint_health m_health;
    shared_retry_budget m_retries;
    account_shares m_shares;
    /// Endpoints at whose address another one has answered, and when each may be used again.
    std::map<endpoint_id, time_point> m_replaced;
    std::map<endpoint_id, quiet_period> m_quiet;
};

} // namespace kumquatbeam
