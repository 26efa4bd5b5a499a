#pragma once

#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/membership_controller.hpp"
#include "kumquatbeam/decisions/account_queue.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace kumquatbeam {

/// Owns the waiting and the running calls: which call goes next, to which endpoint, and what follows when an attempt
/// ends.
class placement_controller final : public controller {
public:
    placement_controller(const router_settings&, const configuration_controller&, const membership_controller&);

    std::string_view name() const override { return "placement"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// Whether the account may have one more request waiting in the pool.
    bool hasRoomFor(const client_account_id&, const pool_id&) const;

private:
    /// Attempts that one call may have.
    static constexpr int attemptLimit = 3;

    struct pool_state {
        pool_view view;
        std::unique_ptr<capacity_strategy> strategy;
        std::map<client_account_id, account_queue> queues;
    };

    struct running_call {
        request_context context;
        endpoint_id endpoint;
        int attempts = 0;
        bool isAbandoned = false;
    };

    void enqueue(const request_context&, decision_context&);
    void abandon(request_id, decision_context&);
    void finishAttempt(const attempt_ended&, decision_context&);
    void settle(running_call, const attempt_ended&, decision_context&);
    bool mayTryAgain(const running_call&, const attempt_ended&) const;
    void receive(const peer_received&, decision_context&);
    void followDocument(decision_context&);
    void refreshViews();
    void refreshPool(pool_state&, const endpoint_pool&);
    void dropOrphans(decision_context&);
    void placeWaiting(pool_state&, decision_context&);
    void start(pool_state&, const placement_choice&, decision_context&);
    void expire(pool_state&, decision_context&);
    void sendBeats(pool_state&, decision_context&);
    void end(request_context, call_reply, decision_context&);

    const router_settings& m_settings;
    const configuration_controller& m_configuration;
    const membership_controller& m_membership;
    /// The document that the pools were last made from.
    revision m_viewed;
    std::map<pool_id, pool_state> m_pools;
    std::unordered_map<request_id, running_call> m_running;
    std::unordered_map<request_id, int> m_attemptsBefore;
};

} // namespace kumquatbeam
