#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller_loop.hpp"
#include "kumquatbeam/controllers/decision_engine.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/controllers/decision_log.hpp"
#include "kumquatbeam/controllers/drain_controller.hpp"
#include "kumquatbeam/controllers/internal_request_ids.hpp"
#include "kumquatbeam/controllers/membership_controller.hpp"
#include "kumquatbeam/controllers/metering_sink.hpp"
#include "kumquatbeam/controllers/metrics_controller.hpp"
#include "kumquatbeam/controllers/order_controller.hpp"
#include "kumquatbeam/controllers/placement_controller.hpp"
#include "kumquatbeam/controllers/reply_controller.hpp"
#include "kumquatbeam/decisions/pause_detector.hpp"
#include "kumquatbeam/filters/filter_chain.hpp"
#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

namespace kumquatbeam {

/// Decision engine of a router that divides the slots of its pools with the other routers.
class decision_core final : public decision_engine {
public:
    decision_core(router_settings, incarnation_id, command_sink&, decision_log&);

    void handle(const decision_event&, time_point now) override;
    time_point nextDeadline() const override { return m_loop.nextDeadline(); }
    void onDeadline(time_point now) override;

private:
    void checkForPause(decision_context&);
    bool interceptEvent(const decision_event&, decision_context&);
    void filterForwardedOrder(const peer_received&, decision_context&);
    void filterRequest(request_context, decision_context&);

    router_settings m_settings;
    incarnation_id m_incarnation;
    pause_detector m_pauseDetector;
    configuration_controller m_configuration;
    metrics_controller m_metrics;
    membership_controller m_membership;
    internal_request_ids m_internalIds;
    order_controller m_orders;
    placement_controller m_placement;
    reply_controller m_reply;
    drain_controller m_drain;
    filter_chain m_chain;
    metering_sink m_meteringSink;
    controller_loop m_loop;
};

} // namespace kumquatbeam
