#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/controllers/decision_log.hpp"
#include "kumquatbeam/controllers/drain_controller.hpp"
#include "kumquatbeam/controllers/internal_request_ids.hpp"
#include "kumquatbeam/controllers/membership_controller.hpp"
#include "kumquatbeam/controllers/metrics_controller.hpp"
#include "kumquatbeam/controllers/order_controller.hpp"
#include "kumquatbeam/controllers/placement_controller.hpp"
#include "kumquatbeam/controllers/reply_controller.hpp"
#include "kumquatbeam/decisions/pause_detector.hpp"
#include "kumquatbeam/filters/filter_chain.hpp"
#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <deque>
#include <vector>

namespace kumquatbeam {

/// All decisions of one router: the filter chain and the controllers. It has no thread, clock, socket or encoding of
/// its own; events and the time come in, commands go out.
class decision_core {
public:
    decision_core(router_settings, incarnation, command_outlet&, decision_log&);

    void handle(const decision_event&, time_point now);
    time_point nextDeadline() const;
    void onDeadline(time_point now);

private:
    void notePause(decision_context&);
    void dispatch(const decision_event&, decision_context&);
    void takeForwarded(const peer_received&, decision_context&);
    void filterRequest(request_context, decision_context&);
    void reportStatus(const status_requested&, decision_context&);
    void settleRaised(decision_context&);

    router_settings m_settings;
    incarnation m_life;
    command_outlet& m_commands;
    decision_log& m_log;
    std::deque<decision_event> m_raised;

    pause_detector m_pauses;
    configuration_controller m_configuration;
    metrics_controller m_metrics;
    membership_controller m_membership;
    internal_request_ids m_internalIds;
    order_controller m_orders;
    placement_controller m_placement;
    reply_controller m_reply;
    drain_controller m_drain;
    /// Every controller in the order in which it sees an event: state that others read comes first.
    std::vector<controller*> m_controllers;
    filter_chain m_chain;
};

} // namespace kumquatbeam
