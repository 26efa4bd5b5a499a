#include "kumquatbeam/controllers/fleet_controller.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Routers that are known at most. More than the target of 740, and few enough that their loads, each from one
    /// datagram of at most 64 KiB, stay within the memory of a small router.
    constexpr std::size_t memberLimit = 1024;

    /// Placeholder id of a router at a seed address, used until its first heartbeat arrives.
    entry_vm_id seedPeerId(const std::string& address)
    {
        return { "seed " + address };
    }

    constexpr std::chrono::seconds fullLogPeriod { 1 };

    /// Heartbeat period for a number of known routers. Within its bounds it grows with the fleet, so that the rate of
    /// heartbeats that a router receives stays constant.
    std::chrono::milliseconds heartbeatPeriodFor(std::size_t others)
    {
        constexpr std::chrono::milliseconds periodPerRouter { 17 };
        return std::clamp(periodPerRouter * static_cast<std::int64_t>(others), fleet_controller::shortestPeriod,
            fleet_controller::longestPeriod);
    }

} // namespace

fleet_controller::fleet_controller(
    const router_settings& settings, incarnation_id incarnation, std::vector<std::string> seeds)
    : m_settings(settings)
    , m_incarnation(incarnation)
{
    setSeeds(std::move(seeds));
}

void fleet_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const peer_received& received) {
            if (const auto* heartbeat = std::get_if<fleet_heartbeat>(&received.message))
                receiveHeartbeat(*heartbeat, context);
        },
        [&](const settings_reloaded& reloaded) { setSeeds(reloaded.seeds); },
        [&](const shutdown_requested&) {
            m_isLeaving = true;
            sendHeartbeats(context);
        },
    };
    std::visit(handlers, event);
}

time_point fleet_controller::nextDeadline() const
{
    return m_nextHeartbeatAt;
}

void fleet_controller::onDeadline(decision_context& context)
{
    if (m_membersKnownAt == never || context.now > m_nextHeartbeatAt + longestPause)
        m_membersKnownAt = context.now + discoveryTime;
    expire(context);
    sendHeartbeats(context);
}

void fleet_controller::describe(status_report& report) const
{
    for (const auto& [id, known] : m_members)
        report.peers.push_back({ id, known.lastHeartbeatAt != never, known.isLoadCounted, known.routes });
}

fleet_controller::load fleet_controller::peerLoad(wire_key endpoint) const
{
    const auto found = m_peerLoad.find(endpoint);
    return found == m_peerLoad.end() ? load {} : found->second;
}

const fleet_controller::reported_rate* fleet_controller::peerRate(wire_key endpoint) const
{
    const auto found = m_reportedRates.find(endpoint);
    return found == m_reportedRates.end() ? nullptr : &found->second;
}

std::int64_t fleet_controller::maxServingRouters() const
{
    const auto others = std::count_if(m_members.begin(), m_members.end(),
        [](const auto& entry) { return entry.second.lastHeartbeatAt != never && !entry.second.isLeaving; });
    // Until heartbeats arrive, each seed counts as one router.
    return 1 + std::max<std::int64_t>(others, static_cast<std::int64_t>(m_seeds.size()));
}

std::vector<entry_vm_id> fleet_controller::otherRouters() const
{
    std::vector<entry_vm_id> routers;
    for (const auto& [id, known] : m_members)
        routers.push_back(id);
    return routers;
}

void fleet_controller::receiveHeartbeat(const fleet_heartbeat& heartbeat, decision_context& context)
{
    if (heartbeat.from == m_settings.self)
        return;
    if (!m_members.contains(heartbeat.from) && !canAddMember(context))
        return;
    const auto [found, isNew] = m_members.try_emplace(heartbeat.from);
    auto& known = found->second;
    if (isNew)
        ++m_membersVersion;
    const bool isNewIncarnation = known.incarnation != heartbeat.incarnation;
    if (!isNewIncarnation && heartbeat.sequence <= known.sequence)
        return;
    if (isNewIncarnation || known.address != heartbeat.address)
        m_havePeersChanged = true;
    if (isNewIncarnation)
        context.log.changed({ name(), "heard",
            heartbeat.from.value + " domain=" + heartbeat.domain.value + " address=" + heartbeat.address });
    countLoad(known, -1);
    known = { .id = heartbeat.from,
        .address = heartbeat.address,
        .domain = heartbeat.domain,
        .incarnation = heartbeat.incarnation,
        .sequence = heartbeat.sequence,
        .routes = heartbeat.routes,
        .lastHeartbeatAt = context.now,
        .removeAt = context.now + silentRouterRetention,
        .isLeaving = heartbeat.isLeaving,
        .load = heartbeat.endpoints,
        .accounts = heartbeat.accounts };
    countLoad(known, 1);
    for (const auto& row : heartbeat.endpoints) {
        if (row.prefillRate > 0)
            m_reportedRates[row.endpoint] = { row.prefillRate, ++m_lastRateNumber, context.now };
    }
    for (const auto& router : heartbeat.knownRouters)
        addKnownRouter(router, context);
    context.raised.emplace_back(fleet_load_changed {});
}

void fleet_controller::setSeeds(std::vector<std::string> seeds)
{
    std::erase(seeds, m_settings.peerAddress);
    m_seeds = std::move(seeds);
    m_havePeersChanged = true;
}

void fleet_controller::addKnownRouter(const known_router& router, decision_context& context)
{
    if (router.id == m_settings.self || (!m_members.contains(router.id) && !canAddMember(context)))
        return;
    const auto removeAt = context.now + silentRouterRetention;
    const auto [found, isNew]
        = m_members.try_emplace(router.id, member { .id = router.id, .address = router.address, .removeAt = removeAt });
    // A router that others hear exists, even if this one is cut off from it.
    found->second.removeAt = std::max(found->second.removeAt, removeAt);
    if (!isNew)
        return;
    m_havePeersChanged = true;
    ++m_membersVersion;
}

bool fleet_controller::canAddMember(decision_context& context)
{
    if (m_members.size() < memberLimit)
        return true;
    if (context.now >= m_fullLoggedAt + fullLogPeriod) {
        m_fullLoggedAt = context.now;
        context.log.failed(name(), { failure_kind::ValueOutOfRange, "known routers", "", std::to_string(memberLimit) });
    }
    return false;
}

void fleet_controller::countLoad(member& known, std::int64_t sign)
{
    if (known.isLoadCounted == (sign > 0))
        return;
    known.isLoadCounted = sign > 0;
    for (const auto& row : known.load) {
        auto& sum = m_peerLoad[row.endpoint];
        sum.running += sign * static_cast<std::int64_t>(row.running);
        sum.prefillTokens += token_count { sign * row.prefillTokens.value };
        if (sum.running == 0 && sum.prefillTokens.value == 0)
            m_peerLoad.erase(row.endpoint);
    }
    for (const auto& row : known.accounts) {
        auto& sum = m_peerRates[row.account];
        sum.requested += static_cast<double>(sign * row.requestedPerSecond.value);
        sum.admitted += static_cast<double>(sign * row.admittedPerSecond.value);
        if (sum.requested == 0 && sum.admitted == 0)
            m_peerRates.erase(row.account);
    }
}

void fleet_controller::expire(decision_context& context)
{
    for (auto& [id, known] : m_members) {
        if (!known.isLoadCounted
            || context.now < known.lastHeartbeatAt + heartbeatPeriodFor(m_members.size()) * missedHeartbeatLimit)
            continue;
        countLoad(known, -1);
        context.log.changed({ name(), "silent", id.value });
        context.raised.emplace_back(fleet_load_changed {});
    }
    std::erase_if(m_reportedRates, [&](const auto& entry) { return context.now >= entry.second.at + rateRetention; });
    const auto removed
        = std::erase_if(m_members, [&](const auto& entry) { return context.now >= entry.second.removeAt; });
    if (removed == 0)
        return;
    m_havePeersChanged = true;
    ++m_membersVersion;
    context.raised.emplace_back(fleet_load_changed {});
}

void fleet_controller::sendHeartbeats(decision_context& context)
{
    m_nextHeartbeatAt = context.now + heartbeatPeriodFor(m_members.size());
    if (std::exchange(m_havePeersChanged, false))
        updatePeers(context);
    send_heartbeat command { .heartbeat = makeHeartbeat(context.now) };
    for (const auto& [id, known] : m_members)
        command.to.push_back(id);
    for (const auto& seed : m_seeds) {
        if (!isKnownAddress(seed))
            command.to.push_back(seedPeerId(seed));
    }
    context.commands.send(peer_command { std::move(command) });
}

void fleet_controller::updatePeers(decision_context& context) const
{
    set_peers peers;
    for (const auto& [id, known] : m_members)
        peers.peers.push_back({ id, known.domain, known.address, m_settings.peerPort });
    for (const auto& seed : m_seeds) {
        if (!isKnownAddress(seed))
            peers.peers.push_back({ seedPeerId(seed), {}, seed, m_settings.peerPort });
    }
    context.commands.send(peer_command { std::move(peers) });
}

fleet_heartbeat fleet_controller::makeHeartbeat(time_point now)
{
    fleet_heartbeat heartbeat { .from = m_settings.self,
        .incarnation = m_incarnation,
        .domain = m_settings.domain,
        .address = m_settings.peerAddress,
        .sequence = ++m_sequence,
        .isLeaving = m_isLeaving };
    // The member list rarely changes, so most heartbeats omit it.
    if (m_sequence % heartbeatsPerMemberList == 1) {
        for (const auto& [id, known] : m_members) {
            if (known.isLoadCounted)
                heartbeat.knownRouters.push_back({ id, known.address });
        }
    }
    if (m_loadSource)
        m_loadSource->addLoad(heartbeat, now);
    return heartbeat;
}

bool fleet_controller::isKnownAddress(const std::string& address) const
{
    return std::any_of(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.address == address; });
}

} // namespace kumquatbeam
