#pragma once

#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/membership_controller.hpp"
#include "kumquatbeam/decisions/attempt_policy.hpp"
#include "kumquatbeam/decisions/pool_state.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <map>
#include <unordered_map>

namespace kumquatbeam {

/// Owns the waiting and the running calls: chooses the next call and its endpoint, and decides what follows when an
/// attempt ends.
class placement_controller final : public controller {
public:
    placement_controller(const router_settings&, const configuration_controller&, const membership_controller&);

    std::string_view name() const override { return "placement"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// Whether the account is below its limit of requests waiting in the pool.
    bool isBelowQueueLimit(const client_account_id&, const pool_id&) const;

    /// Estimated start of a request of this urgency that joins the account's queue now.
    time_point expectedStart(const client_account_id&, const pool_id&, urgency, time_point now) const;

    /// Whether a request that starts at `startAt` is expected to end by the deadline.
    bool canMeetDeadline(time_point deadline, const pool_id&, time_point startAt, time_point now) const;

private:
    struct running_call {
        request_context context;
        endpoint_id endpoint;
        /// History before the attempt in flight.
        attempt_history history;
        bool isAbandoned = false;
    };

    void enqueue(const request_context&, decision_context&);
    void abandon(request_id, decision_context&);
    void finishAttempt(const attempt_ended&, decision_context&);
    void applyVerdict(running_call, const attempt_ended&, decision_context&);
    attempt_state attemptStateOf(const running_call&, const attempt_ended&, time_point now) const;
    void answer(running_call, const attempt_ended&, decision_context&);
    void retry(running_call, const attempt_state&, decision_context&);
    void observe(const load_observed&, time_point now);
    void refreshUsable(pool_state&, time_point now) const;
    void receive(const peer_received&, decision_context&);
    void adoptDocument(decision_context&);
    void refreshViews();
    void refreshPool(pool_state&, const endpoint_pool&);
    void dropRemovedAccountsAndPools(decision_context&);
    void placeWaiting(pool_state&, decision_context&);
    void start(pool_state&, const placement_choice&, decision_context&);
    void expire(pool_state&, decision_context&);
    void sendStrategyMessages(pool_state&, decision_context&);
    void endUnplaced(request_context, failure, decision_context&);
    void end(request_context, call_reply, decision_context&);

    const router_settings& m_settings;
    const configuration_controller& m_configuration;
    const membership_controller& m_membership;
    /// Revision of the document that the pools were last built from.
    revision m_appliedRevision;
    std::map<pool_id, pool_state> m_pools;
    std::unordered_map<request_id, running_call> m_running;
    /// Histories of the calls that wait for a retry.
    std::unordered_map<request_id, attempt_history> m_histories;
};

} // namespace kumquatbeam
