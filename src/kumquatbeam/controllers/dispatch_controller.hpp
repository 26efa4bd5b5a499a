#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/controllers/pool_report.hpp"
#include "kumquatbeam/controllers/route_controller.hpp"
#include "kumquatbeam/decisions/attempt_policy.hpp"
#include "kumquatbeam/decisions/longest_duration.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace kumquatbeam {

/// Owns the routed calls in flight: chooses the endpoint of each call and decides what follows when an attempt ends.
/// Calls are not queued: a call that no endpoint can start in time is refused immediately.
class dispatch_controller final : public controller, public load_source {
public:
    dispatch_controller(const route_bounds&, const failure_domain_id& ownDomain, const route_controller&,
        const directory_controller&, const fleet_controller&);

    /// Lets the pools learn the speeds of their endpoints; must be called before the first event.
    void allowSpeedLearning() { m_mayLearnSpeeds = true; }

    std::string_view name() const override { return "dispatch"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    void addLoad(fleet_heartbeat&, time_point now) override;

    /// The endpoint for a request that is sent now, or nothing if no endpoint can start it in time.
    std::optional<placement> choose(const request_context&, time_point now) const;

    /// When the first endpoint may be used again, if all usable endpoints of the pool have asked for quiet.
    std::optional<time_point> quietUntil(const pool_id&, time_point now) const;

    /// How long the longest recent call of a route took until its whole answer; zero if none was answered lately.
    std::chrono::milliseconds longestLately(const route_id&, time_point now) const;

    /// Whether the pool has any usable endpoint, whatever its load.
    bool hasUsableEndpoint(const pool_id&, time_point now) const;

private:
    /// Outcome of the earlier attempts at a call.
    struct call_history {
        /// Attempts of which a byte was sent, and all attempts.
        int sentAttempts = 0;
        int attempts = 0;
        bool mayHaveRun = false;
        byte_count relayedBytes {};
        std::optional<event_number> lastEvent {};
        std::set<endpoint_id> tried {};
    };

    struct running_call {
        request_context context;
        time_point arrivedAt;
        endpoint_id endpoint;
        /// The endpoint's incarnation that the call was sent to.
        std::int64_t incarnation = 0;
        time_point placedAt {};
        /// Prompt tokens that the endpoint had to prefill when the call was sent, including those of the call.
        token_count outstandingTokens {};
        /// Prompt tokens that the endpoint still has to prefill before the first event.
        token_count prefillTokens;
        call_history history {};
        std::optional<time_point> firstByteAt {};
        bool isAbandoned = false;
    };

    void refreshPools(decision_context&);
    /// Limits further attempts at a call by what is known of its account key now.
    void renewKey(request_context&) const;
    /// Logs the endpoints that have become cold or warm, and sets the time of the next such change.
    void logColdChanges(decision_context& context)
    {
        m_nextWarmAt = kumquatbeam::logColdChanges(m_pools, name(), context);
    }
    void recordUnplaced(const request_context&, time_point now);
    /// Bounds the memory for durations as routes come and go.
    void forgetIdleRoutes(time_point now);
    void recordNotice(const endpoint_noticed&, decision_context&);
    call_reply notRunReply(const running_call&, failure, time_point now) const;
    void admit(const request_context&, decision_context&);
    void recordRequested(const request_context&, time_point now);
    /// Sends a call to an endpoint and tracks it; returns false and leaves the call unchanged if no endpoint can take
    /// it.
    bool start(running_call&, decision_context&);
    void recordFirstByte(const answer_begun&, time_point now);
    void abandon(request_id, decision_context&);
    void finishAttempt(const attempt_ended&, decision_context&);
    void applyVerdict(running_call, const attempt_ended&, decision_context&);
    attempt_state attemptStateOf(const running_call&, const attempt_ended&, time_point now) const;
    bool tryWithdrawRetry(const running_call&, const attempt_ended&, time_point now);
    void retry(running_call, const attempt_state&, const attempt_ended&, decision_context&);
    void answer(running_call, const attempt_ended&, decision_context&);
    void end(running_call, call_reply, const attempt_ended&, decision_context&);
    void logOutcome(const running_call&, const attempt_ended&, reply_kind, failure_kind, decision_context&);
    dispatch_pool* poolOf(const request_context&);

    const route_bounds& m_bounds;
    const failure_domain_id& m_domain;
    const route_controller& m_routes;
    const directory_controller& m_directory;
    const fleet_controller& m_fleet;
    dispatch_pools m_pools;
    std::unordered_map<request_id, running_call> m_running;
    std::map<route_id, longest_duration> m_durations;
    time_point m_nextWarmAt = never;
    bool m_mayLearnSpeeds = false;
};

} // namespace kumquatbeam
