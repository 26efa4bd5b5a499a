#include "kumquatbeam/controllers/membership_controller.hpp"

#include <utility>

namespace kumquatbeam {

namespace {

    /// How often a router says that it lives. A peer is taken for lost after three times as long.
    constexpr std::chrono::milliseconds heartbeatPeriod { 1000 };

} // namespace

membership_controller::membership_controller(entry_vm_id self, const configuration_controller& configuration)
    : m_self(std::move(self))
    , m_configuration(configuration)
{
}

void membership_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const members_published& published) { publish(published, context); },
        [&](const load_observed& observed) {
            if (observed.load && observed.load->isLeaving)
                m_leavingByOwnReport.insert(observed.endpoint);
        },
        [&](const peer_connected& connected) {
            m_connected.insert_or_assign(connected.greeting.from, connected.greeting);
            context.log.changed({ name(), "peer connected", connected.greeting.from.value });
        },
        [&](const peer_lost& lost) {
            m_connected.erase(lost.peer);
            context.log.changed({ name(), "peer lost", lost.peer.value });
        },
    };
    std::visit(handlers, event);
}

void membership_controller::onDeadline(decision_context& context)
{
    m_heartbeatAt = context.now + heartbeatPeriod;
    const auto document = m_configuration.current();
    const peer_heartbeat heartbeat { .document = document ? document->current : revision {},
        .members = m_members.current };
    for (const auto& [peer, greeting] : m_connected)
        context.commands.send(peer_command { send_to_peer { peer, heartbeat } });
}

void membership_controller::describe(status_report& report) const
{
    report.members = m_members.current;
    for (const auto& [id, vm] : m_members.entryVms) {
        if (id != m_self)
            report.peers.push_back({ id, m_connected.contains(id), {} });
    }
}

bool membership_controller::isLeaving(const endpoint_id& endpoint) const
{
    if (m_leavingByOwnReport.contains(endpoint))
        return true;
    const auto machine = m_members.endpointMachines.find(endpoint);
    return machine != m_members.endpointMachines.end() && machine->second.isLeaving;
}

void membership_controller::publish(const members_published& published, decision_context& context)
{
    if (published.current <= m_members.current)
        return;
    auto verdict = parseMembers(published.current, published.text);
    for (const auto& fault : verdict.faults)
        context.log.failed(name(), fault);
    m_members = std::move(verdict.members);
    set_peers peers;
    for (const auto& [id, vm] : m_members.entryVms) {
        if (id != m_self)
            peers.peers.push_back(vm);
    }
    context.commands.send(peer_command { std::move(peers) });
    context.log.changed({ name(), "members", std::to_string(published.current.value) });
}

} // namespace kumquatbeam
