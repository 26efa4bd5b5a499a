#include "kumquatbeam/controllers/membership_controller.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

membership_controller::membership_controller(
    const router_settings& settings, const configuration_controller& configuration)
    : m_settings(settings)
    , m_configuration(configuration)
{
}

void membership_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const members_published& published) { applyMembers(published, context); },
        [&](const document_accepted&) {
            announceLeaving(m_leaving.applyDocument(*m_configuration.current()), "document", context);
            m_heartbeatAt = context.now;
        },
        [&](const load_observed& observed) {
            if (observed.load && observed.load->isLeaving)
                announceLeaving(
                    m_leaving.recordReport(observed.endpoint, observed.address, observed.port), "load report", context);
        },
        [&](const peer_connected& connected) { recordConnected(connected, context); },
        [&](const peer_lost& lost) { recordLost(lost, context); },
        [&](const peer_received& received) { receive(received, context); },
        [&](const shutdown_requested&) {
            m_isDraining = true;
            m_heartbeatAt = context.now;
        },
    };
    std::visit(handlers, event);
}

time_point membership_controller::nextDeadline() const
{
    auto earliest = m_heartbeatAt;
    for (const auto& [peer, state] : m_peerStates) {
        if (state.isValid)
            earliest = std::min(earliest, state.validUntil);
    }
    return earliest;
}

void membership_controller::onDeadline(decision_context& context)
{
    if (!std::exchange(m_hasStarted, true))
        connectInitialPeers(context);
    expirePeerStates(context);
    if (context.now >= m_heartbeatAt)
        sendHeartbeats(context);
}

void membership_controller::describe(status_report& report) const
{
    report.members = m_members.revisionNumber;
    for (const auto& [id, vm] : m_members.entryVms) {
        if (id == m_settings.self)
            continue;
        const auto state = m_peerStates.find(id);
        report.peers.push_back({ id, m_connected.contains(id), isReachable(id),
            state == m_peerStates.end() ? revision {} : state->second.document });
    }
}

std::vector<router_presence> membership_controller::routers() const
{
    std::map<entry_vm_id, router_presence> known;
    for (const auto& [id, vm] : m_members.entryVms)
        known[id] = { id, vm.domain, isReachable(id), {} };
    for (const auto& [id, hello] : m_connected)
        known[id] = { id, hello.domain, isReachable(id), hello.incarnation };
    known[m_settings.self] = { m_settings.self, m_settings.domain, true, {} };

    std::vector<router_presence> rows;
    rows.reserve(known.size());
    for (auto& [id, presence] : known)
        rows.push_back(std::move(presence));
    return rows;
}

bool membership_controller::isReachable(const entry_vm_id& peer) const
{
    const auto listed = m_members.entryVms.find(peer);
    if (listed != m_members.entryVms.end() && listed->second.isLeaving)
        return false;
    const auto state = m_peerStates.find(peer);
    return state != m_peerStates.end() && state->second.isValid && !state->second.isDraining;
}

void membership_controller::resetPeerStates(decision_context& context)
{
    context.log.changed({ name(), "paused", std::to_string(m_connected.size()) });
    m_connected.clear();
    m_peerStates.clear();
    context.commands.send(peer_command { reconnect_peers {} });
    announceChange(context);
}

void membership_controller::connectInitialPeers(decision_context& context)
{
    if (m_members.revisionNumber != revision {} || m_settings.initialPeers.empty())
        return;
    for (const auto& peer : m_settings.initialPeers) {
        if (peer.id != m_settings.self)
            m_members.entryVms.emplace(peer.id, peer);
    }
    context.commands.send(peer_command { set_peers { m_settings.initialPeers } });
    announceChange(context);
}

void membership_controller::applyMembers(const members_published& published, decision_context& context)
{
    if (published.revisionNumber <= m_members.revisionNumber)
        return;
    auto verdict = parseMembers(published.revisionNumber, published.text);
    for (const auto& fault : verdict.faults)
        context.log.failed(name(), fault);
    if (!verdict.isReadable) {
        // The last valid list stays in use; only its revision is updated.
        m_members.revisionNumber = published.revisionNumber;
        return;
    }
    m_members = std::move(verdict.members);
    set_peers peers;
    for (const auto& [id, vm] : m_members.entryVms) {
        if (id != m_settings.self)
            peers.peers.push_back(vm);
    }
    context.commands.send(peer_command { std::move(peers) });
    context.log.changed({ name(), "members", std::to_string(published.revisionNumber.value) });
    announceLeaving(m_leaving.applyMemberList(m_members), "member list", context);
    announceChange(context);
}

void membership_controller::recordConnected(const peer_connected& connected, decision_context& context)
{
    const auto& peer = connected.hello.from;
    m_connected.insert_or_assign(peer, connected.hello);
    m_peerStates[peer] = { .document = {}, .validUntil = context.now + peerTimeout, .isValid = true };
    context.commands.send(peer_command { send_to_peer { peer, makeHeartbeat() } });
    context.log.changed({ name(), "peer connected", peer.value });
    announceChange(context);
}

void membership_controller::recordLost(const peer_lost& lost, decision_context& context)
{
    if (m_connected.erase(lost.peer) == 0)
        return;
    m_peerStates.erase(lost.peer);
    context.log.changed({ name(), "peer lost", lost.peer.value });
    announceChange(context);
}

void membership_controller::receive(const peer_received& received, decision_context& context)
{
    auto& state = m_peerStates[received.from];
    const bool wasReachable = isReachable(received.from);
    state.validUntil = context.now + peerTimeout;
    state.isValid = true;
    if (const auto* heartbeat = std::get_if<peer_heartbeat>(&received.message)) {
        state.document = heartbeat->document;
        state.isDraining = heartbeat->isDraining;
        announceLeaving(m_leaving.recordPeerKeys(heartbeat->leavingEndpoints), "peer", context);
    }
    if (wasReachable != isReachable(received.from))
        announceChange(context);
}

void membership_controller::expirePeerStates(decision_context& context)
{
    bool hasChanged = false;
    for (auto& [peer, state] : m_peerStates) {
        if (!state.isValid || state.validUntil > context.now)
            continue;
        state.isValid = false;
        hasChanged = true;
        context.log.changed({ name(), "peer silent", peer.value });
    }
    if (hasChanged)
        announceChange(context);
}

void membership_controller::announceLeaving(bool hasChanged, std::string_view source, decision_context& context)
{
    if (!hasChanged)
        return;
    context.log.changed({ name(), "endpoints leaving", std::string(source) });
    m_heartbeatAt = context.now;
    announceChange(context);
}

void membership_controller::sendHeartbeats(decision_context& context)
{
    m_heartbeatAt = context.now + heartbeatPeriod;
    for (const auto& [peer, hello] : m_connected)
        context.commands.send(peer_command { send_to_peer { peer, makeHeartbeat() } });
}

peer_heartbeat membership_controller::makeHeartbeat() const
{
    const auto document = m_configuration.current();
    return { .document = document ? document->revisionNumber : revision {},
        .members = m_members.revisionNumber,
        .isDraining = m_isDraining,
        .leavingEndpoints = m_leaving.keys() };
}

std::set<entry_vm_id> membership_controller::expectedPeers() const
{
    std::set<entry_vm_id> peers;
    for (const auto& [id, vm] : m_members.entryVms) {
        if (id != m_settings.self && !vm.isLeaving)
            peers.insert(id);
    }
    return peers;
}

void membership_controller::announceChange(decision_context& context)
{
    context.raised.emplace_back(membership_changed { expectedPeers() });
}

} // namespace kumquatbeam
