#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/directory_controller.hpp"
#include "kumquatbeam/controllers/route_controller.hpp"

namespace kumquatbeam {

/// Owns the readiness reported to the load balancer. The router is ready while a route table is active, its keys are
/// fresh, and at least one endpoint is not draining.
class readiness_controller final : public controller {
public:
    readiness_controller(const route_controller&, const directory_controller&);

    std::string_view name() const override { return "readiness"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override { return m_isReady ? m_routes.freshUntil() : never; }
    void onDeadline(decision_context& context) override { update(context); }
    void describe(status_report&) const override;

private:
    std::string_view notReadyReason(time_point now) const;
    void update(decision_context&);

    const route_controller& m_routes;
    const directory_controller& m_directory;
    bool m_isReady = false;
};

} // namespace kumquatbeam
