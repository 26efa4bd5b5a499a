#include "kumquatbeam/controllers/readiness_controller.hpp"

#include <algorithm>
#include <string>

namespace kumquatbeam {

readiness_controller::readiness_controller(const route_controller& routes, const directory_controller& directory)
    : m_routes(routes)
    , m_directory(directory)
{
}

void readiness_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const routes_observed&) { update(context); },
        [&](const keys_confirmed&) { update(context); },
        [&](const directory_observed&) { update(context); },
        [&](const directory_changed&) { update(context); },
    };
    std::visit(handlers, event);
}

void readiness_controller::describe(status_report& report) const
{
    report.isReady = m_isReady;
}

std::string_view readiness_controller::notReadyReason(time_point now) const
{
    if (!m_routes.current())
        return "no-route-table";
    if (now >= m_routes.freshUntil())
        return "keys-not-confirmed";
    const auto& endpoints = m_directory.endpoints();
    const bool hasEndpoint
        = std::any_of(endpoints.begin(), endpoints.end(), [](const auto& entry) { return !entry.second.isDraining; });
    return hasEndpoint ? "" : "no-endpoint";
}

void readiness_controller::update(decision_context& context)
{
    const auto reason = notReadyReason(context.now);
    const bool isReady = reason.empty();
    if (isReady == m_isReady)
        return;
    m_isReady = isReady;
    context.commands.send(caller_command { set_ready { isReady } });
    context.log.changed({ name(), isReady ? "ready" : "not-ready", isReady ? "" : "because=" + std::string(reason) });
}

} // namespace kumquatbeam
