#pragma once

#include "kumquatbeam/controllers/controller_loop.hpp"
#include "kumquatbeam/controllers/decision_engine.hpp"
#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/dispatch_controller.hpp"
#include "kumquatbeam/controllers/drain_controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/controllers/readiness_controller.hpp"
#include "kumquatbeam/controllers/reply_controller.hpp"
#include "kumquatbeam/controllers/route_controller.hpp"
#include "kumquatbeam/filters/filter_chain.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

namespace kumquatbeam {

/// Decision engine of a router that assigns calls to pools by a route table.
class routing_core final : public decision_engine {
public:
    /// `seeds` are addresses of routers from which to discover the others.
    routing_core(
        router_settings, route_bounds, std::vector<std::string> seeds, incarnation_id, command_sink&, decision_log&);

    /// Lets the router learn the speeds of endpoints; must be called before the first event.
    void allowSpeedLearning() { m_dispatch.allowSpeedLearning(); }

    void handle(const decision_event& event, time_point now) override { m_loop.handle(event, now); }
    time_point nextDeadline() const override { return m_loop.nextDeadline(); }
    void onDeadline(time_point now) override { m_loop.onDeadline(now); }

private:
    bool interceptEvent(const decision_event&, decision_context&);
    void filterRequest(const request_arrived&, decision_context&);

    router_settings m_settings;
    route_bounds m_bounds;
    incarnation_id m_incarnation;
    route_controller m_routes;
    directory_controller m_directory;
    fleet_controller m_fleet;
    dispatch_controller m_dispatch;
    reply_controller m_reply;
    drain_controller m_drain;
    readiness_controller m_readiness;
    filter_chain m_chain;
    controller_loop m_loop;
};

} // namespace kumquatbeam
