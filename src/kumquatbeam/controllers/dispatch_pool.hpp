#pragma once

#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/controllers/metrics_report.hpp"
#include "kumquatbeam/decisions/admission/account_shares.hpp"
#include "kumquatbeam/decisions/endpoint_health.hpp"
#include "kumquatbeam/decisions/placement/cold_allowance.hpp"
#include "kumquatbeam/decisions/placement/cold_endpoints.hpp"
#include "kumquatbeam/decisions/placement/placement_strategy.hpp"
#include "kumquatbeam/decisions/placement/pool_speeds.hpp"
#include "kumquatbeam/decisions/shared_retry_budget.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"
#include "kumquatbeam/types/endpoint_load.hpp"
#include "kumquatbeam/types/request_context.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// One pool as known to this router: its endpoints with their load, and the account shares, the retry budget and the
/// placement strategy of the pool.
class dispatch_pool {
public:
    /// Time for which an endpoint is not used after another one has answered at its address. By then the directory
    /// shows which endpoint has the address.
    static constexpr std::chrono::seconds replacedCooldown { 3 };

    /// @{ Delay after which a caller may retry if all endpoints are evacuated, which takes minutes; and the longest
    /// delay as a fraction of the time until the caller's deadline.
    static constexpr std::chrono::seconds evacuatedRetryDelay { 1 };
    static constexpr double retryDelayFraction = 0.3;
    /// @}

    /// Time for which the load that an endpoint reported counts for placement.
    static constexpr std::chrono::milliseconds reportRetention { 1000 };

    dispatch_pool(const routed_pool&, const fleet_controller&);

    /// Lets the pool learn the speeds of its endpoints, and count the loads that they report, once one of them has
    /// reported a slowdown.
    void allowSpeedLearning() { m_mayLearnSpeeds = true; }

    /// Updates the limits from the bounds in force, and the endpoints from the announced ones; incarnations that remain
    /// keep their load and learned rate. Must be called before the pool is used.
    void refresh(const route_table&, const route_bounds&, const directory_controller&);

    /// Lets a read of the directory supersede failures from before it. `refresh` must follow.
    void applyRead(const endpoint_directory& directory, time_point readStartedAt)
    {
        m_cold.applyRead(directory, readStartedAt);
    }

    /// Updates the other routers, the load that they have placed on the endpoints, and the rates that they measured.
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

    /// Records that an incarnation of an endpoint has said that it is cold until then.
    void recordCold(const endpoint_id&, std::int64_t incarnation, time_point until);

    /// The endpoints that have become cold or warm since the last call, and whether each is cold.
    std::vector<std::pair<endpoint_id, bool>> takeColdChanges(time_point now);

    /// When the next cold endpoint becomes warm.
    time_point nextWarmAt(time_point now) const;

    /// Whether the endpoint was cold at the last call of `takeColdChanges`.
    bool isCold(const endpoint_id& endpoint) const { return m_knownCold.contains(endpoint); }

    /// Whether the endpoint's failure domain is evacuated.
    bool isEvacuated(const endpoint_id& endpoint) const { return m_evacuated.contains(endpoint); }

    /// Whether every endpoint that could be used otherwise is in an evacuated failure domain.
    bool isWhollyEvacuated() const;

    /// When a caller whose request was not run may retry it, if the pool's endpoints give a reason to wait: they are
    /// all evacuated or have asked for quiet.
    std::optional<time_point> retryAt(time_point deadline, time_point now) const;

    /// Counts a call for which no endpoint was found.
    void recordUnplaced(time_point now);

    const cold_pool_counts& counts() const { return m_counts; }

    /// Whether any endpoint is usable, whatever its load and its allowance while it is cold.
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

    /// @{ Record that the prompt of a call was prefilled, and that the call ended. The load belongs to the incarnation
    /// that got the call.
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

    /// Updates the endpoint's health with the outcome of an attempt at one of its incarnations.
    void recordOutcome(const attempt_ended&, std::int64_t incarnation, time_point now);

private:
    /// A request of an endpoint to be left alone.
    struct quiet_period {
        std::int64_t incarnation = 0;
        time_point until {};
    };

    void setColdLimit(const routed_pool&, const route_bounds&);
    endpoint_view* find(const endpoint_id&, std::int64_t incarnation);
    std::size_t indexOf(const endpoint_view& row) const { return static_cast<std::size_t>(&row - m_endpoints.data()); }
    /// Whether every endpoint that could be used otherwise is cold, and this router may send nothing to it now.
    bool hasOnlyCold(time_point now) const;
    bool mayUseCold(const endpoint_view&, time_point now) const;
    bool mayUseWhenNotQuiet(const endpoint_view&, time_point now) const;
    bool isQuiet(const endpoint_id&, time_point now) const;
    bool mayUse(const endpoint_view&, time_point now) const;
    std::chrono::microseconds waitLimitOf(const request_context&, time_point now) const;

    pool_id m_id;
    const fleet_controller& m_fleet;
    std::unique_ptr<placement_strategy> m_strategy;
    std::vector<endpoint_view> m_endpoints;
    /// Incarnations that are no longer announced, with calls that still run there.
    std::vector<endpoint_view> m_formerEndpoints;
    pool_speeds m_speeds;
    bool m_mayLearnSpeeds = false;
    /// Whether an endpoint has reported how long work takes on its machine. Otherwise the machines are not shared, the
    /// default rate is used, and reported loads do not count.
    bool m_learnsSpeeds = false;
    endpoint_health m_health;
    shared_retry_budget m_retries { {} };
    account_shares m_shares;
    /// Endpoints at whose address another one has answered, and when each may be used again.
    std::map<endpoint_id, time_point> m_replaced;
    std::map<endpoint_id, quiet_period> m_quiet;
    /// Endpoints in evacuated failure domains.
    std::set<endpoint_id> m_evacuated;
    cold_endpoints m_cold;
    cold_allowance m_allowance;
    bool m_hasColdLimit = false;
    /// Version of the routers that the allowance is divided among.
    std::optional<std::uint64_t> m_membersVersion;
    std::set<endpoint_id> m_knownCold;
    cold_pool_counts m_counts;
};

} // namespace kumquatbeam
