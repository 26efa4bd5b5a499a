#include "kumquatbeam/controllers/routing_core.hpp"

#include "kumquatbeam/filters/drain_filter.hpp"
#include "kumquatbeam/filters/key_filter.hpp"
#include "kumquatbeam/filters/load_shedding_filter.hpp"
#include "kumquatbeam/filters/route_filter.hpp"
#include "kumquatbeam/filters/shutdown_time_filter.hpp"
#include "kumquatbeam/filters/timeout_filter.hpp"

#include <string>
#include <utility>

namespace kumquatbeam {

routing_core::routing_core(router_settings settings, route_bounds bounds, std::vector<std::string> seeds,
    incarnation_id incarnation, command_sink& commands, decision_log& log)
    : m_settings(std::move(settings))
    , m_bounds(bounds)
    , m_incarnation(incarnation)
    , m_routes(m_bounds, m_settings.peerAddress, seeds)
    , m_directory(m_bounds)
    , m_fleet(m_settings, incarnation, std::move(seeds))
    , m_dispatch(m_bounds, m_settings.domain, m_routes, m_directory, m_fleet)
    , m_drain(m_settings, m_bounds.drainLimit)
    , m_readiness(m_routes, m_directory)
    , m_loop(commands, log, { .interceptEvent = [this](const decision_event& event, decision_context& context) {
        return interceptEvent(event, context);
    } })
{
    m_loop.append(m_routes);
    m_loop.append(m_directory);
    m_fleet.setLoadSource(m_dispatch);
    m_loop.append(m_fleet);
    m_loop.append(m_dispatch);
    m_loop.append(m_reply);
    m_loop.append(m_drain);
    m_loop.append(m_readiness);

    m_chain.append(std::make_unique<route_filter>(m_routes));
    m_chain.append(std::make_unique<key_filter>(m_routes));
    m_chain.append(std::make_unique<drain_filter>(m_drain));
    m_chain.append(std::make_unique<shutdown_time_filter>(m_drain, m_dispatch));
    m_chain.append(std::make_unique<timeout_filter>());
    m_chain.append(std::make_unique<load_shedding_filter>(m_dispatch));
}

bool routing_core::interceptEvent(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const request_arrived& arrived) { filterRequest(arrived, context); },
        [&](const status_requested& query) {
            m_loop.answerStatus(
                query, { .self = m_settings.self, .domain = m_settings.domain, .incarnation = m_incarnation }, context);
        },
        [&](const settings_reloaded& reloaded) {
            m_bounds = reloaded.bounds;
            context.log.changed({ "settings", "reloaded", "seeds=" + std::to_string(reloaded.seeds.size()) });
        },
    };
    std::visit(handlers, event);
    return true;
}

void routing_core::filterRequest(const request_arrived& arrived, decision_context& context)
{
    request_context request { .id = arrived.id, .call = arrived.call };
    auto verdict = m_chain.apply(request, context.now);
    if (!verdict) {
        context.raised.emplace_back(request_admitted { std::move(request) });
        return;
    }
    auto& reply = verdict->reply;
    context.raised.emplace_back(request_refused { request, reply.problem ? reply.problem->kind : failure_kind::None });
    if (reply.problem)
        context.log.refused({ .request = request.id,
            .callerRequestId = request.call->callerRequestId,
            .account = request.account,
            .pool = request.matched ? request.matched->pool : pool_id {},
            .decidedBy = verdict->filter,
            .problem = *reply.problem,
            .basis = m_routes.basis(context.now) });
    reply_controller::deliver(request, std::move(reply), context);
}

} // namespace kumquatbeam
