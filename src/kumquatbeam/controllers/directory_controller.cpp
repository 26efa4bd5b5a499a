#include "kumquatbeam/controllers/directory_controller.hpp"

#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    std::string millisecondsText(clock::duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

} // namespace

directory_controller::directory_controller(const route_bounds& bounds)
    : m_bounds(bounds)
{
}

void directory_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const directory_observed& observed) { observe(observed, context); },
        [&](const endpoint_noticed& noticed) {
            if (noticed.isLeaving)
                recordLeaving(noticed.endpoint, noticed.incarnation, "its-answer", context);
        },
        [&](const peer_received& received) {
            if (const auto* heartbeat = std::get_if<fleet_heartbeat>(&received.message))
                receiveLeaving(*heartbeat, context);
        },
    };
    std::visit(handlers, event);
}

void directory_controller::receiveLeaving(const fleet_heartbeat& heartbeat, decision_context& context)
{
    for (const auto& row : heartbeat.leavingEndpoints) {
        const auto found = std::find_if(m_endpoints.begin(), m_endpoints.end(),
            [&](const auto& entry) { return wireKeyOf(entry.first) == row.endpoint; });
        if (found != m_endpoints.end())
            recordLeaving(found->first, row.incarnation, heartbeat.from.value, context);
    }
}

void directory_controller::recordLeaving(
    const endpoint_id& id, std::int64_t incarnation, std::string_view source, decision_context& context)
{
    auto& leaving = m_leaving[id];
    if (incarnation < leaving.incarnation)
        return;
    leaving = { incarnation, context.now + leavingRetention };
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.isDraining || found->second.incarnation != incarnation)
        return;
    found->second.isDraining = true;
    context.log.changed({ name(), "draining", id.value + " because=" + std::string(source) });
    publishChange(context);
}

bool directory_controller::isLeaving(const endpoint_id& id, std::int64_t incarnation) const
{
    const auto found = m_leaving.find(id);
    return found != m_leaving.end() && found->second.incarnation == incarnation;
}

void directory_controller::addLeaving(fleet_heartbeat& heartbeat) const
{
    for (const auto& [id, leaving] : m_leaving) {
        if (m_endpoints.contains(id))
            heartbeat.leavingEndpoints.push_back({ wireKeyOf(id), leaving.incarnation });
    }
}

time_point directory_controller::nextDeadline() const
{
    time_point earliest = never;
    for (const auto& [id, dropAt] : m_missing)
        earliest = std::min(earliest, dropAt);
    for (const auto& [domain, until] : m_evacuatedUntil)
        earliest = std::min(earliest, until);
    return earliest;
}

void directory_controller::onDeadline(decision_context& context)
{
    bool hasChanged = endEvacuations(context);
    std::erase_if(m_missing, [&](const auto& entry) {
        if (entry.second > context.now)
            return false;
        if (const auto node = m_endpoints.extract(entry.first)) {
            m_departed.record(node.mapped(), context.now);
            hasChanged = true;
        }
        context.log.changed({ name(), "gone", entry.first.value + " because=missing-since-outage" });
        return true;
    });
    if (hasChanged)
        publishChange(context);
}

void directory_controller::describe(status_report& report) const
{
    report.sourceEra = m_era;
    report.sourceErasSeen = m_erasSeen;
    for (const auto& [domain, until] : m_evacuatedUntil)
        report.evacuatedDomains.push_back(domain);
}

const announced_endpoint* directory_controller::find(const endpoint_id& id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void directory_controller::observe(const directory_observed& observed, decision_context& context)
{
    const auto longestGap
        = std::chrono::duration_cast<clock::duration>(m_bounds.changePropagationLimit * outageFraction);
    const bool isFirst = m_erasSeen == 0;
    const bool isRestored = updateEra(observed.era, context);
    const auto earliestEnd = observed.outageEndedAfter.value_or(observed.readStartedAt);
    if (isRestored || (isFirst && observed.era > source_era {}))
        watchUnwritten(observed);
    if (isRestored || observed.readStartedAt > m_nextReadDueBy) {
        m_keepMissingUntil = keepMissingUntil(observed.readStartedAt, earliestEnd);
        if (!isRestored)
            m_unwritten.postpone(m_keepMissingUntil - settlingPeriod);
        context.log.changed({ name(), "regained",
            "after-ms=" + millisecondsText(observed.readStartedAt - m_lastRead)
                + " outage-ended-within-ms=" + millisecondsText(observed.readStartedAt - earliestEnd)
                + " keep-missing-ms=" + millisecondsText(m_keepMissingUntil - context.now) });
    }
    m_lastRead = observed.readStartedAt;
    m_nextReadDueBy = observed.readStartedAt + longestGap;
    std::erase_if(m_leaving, [&](const auto& entry) { return entry.second.forgetAt <= context.now; });
    if (isRestored)
        holdDeparted(*observed.directory, context);
    bool hasChanged = applyEvacuations(observed.directory->evacuatedDomains,
        isRestored ? observed.readStartedAt + m_bounds.outageStabilityWindow : time_point::min(), context);
    hasChanged |= applyAnnouncements(*observed.directory, context);
    hasChanged |= holdUnwritten(observed, context);
    hasChanged |= dropMissing(*observed.directory, observed.readStartedAt, context);
    if (hasChanged)
        publishChange(context);
}

bool directory_controller::updateEra(source_era era, decision_context& context)
{
    if (m_erasSeen > 0 && era == m_era)
        return false;
    const auto before = m_erasSeen > 0 ? " before=" + std::to_string(m_era.value) : std::string();
    context.log.changed({ "source", "era", std::to_string(era.value) + before });
    m_era = era;
    return m_erasSeen++ > 0;
}

void directory_controller::holdDeparted(const endpoint_directory& directory, decision_context& context)
{
    for (const auto& id : m_departed.holdThoseIn(directory, context.now))
        context.log.changed({ name(), "held",
            id.value + " for-ms=" + millisecondsText(departed_endpoints::holdTime)
                + " because=gone-before-the-restore" });
}

void directory_controller::watchUnwritten(const directory_observed& observed)
{
    // Without a failed read, the directory may have been restored at any time after the last read.
    const auto lastRead = m_lastRead == never ? observed.readStartedAt : m_lastRead;
    const auto restoredAfter = observed.outageEndedAfter.value_or(lastRead);
    m_unwritten.begin(*observed.directory, keepMissingUntil(observed.readStartedAt, restoredAfter) - settlingPeriod);
}

bool directory_controller::holdUnwritten(const directory_observed& observed, decision_context& context)
{
    const auto gone = m_unwritten.findGone(*observed.directory, observed.readStartedAt, m_endpoints);
    for (const auto& id : gone) {
        m_departed.hold(m_endpoints.extract(id).mapped(), *observed.directory, context.now);
        context.log.changed({ name(), "held",
            id.value + " for-ms=" + millisecondsText(departed_endpoints::holdTime)
                + " because=not-written-since-the-restore" });
    }
    return !gone.empty();
}

bool directory_controller::applyEvacuations(
    const std::set<failure_domain_id>& announced, time_point keepLostUntil, decision_context& context)
{
    bool hasChanged = false;
    for (const auto& domain : announced) {
        if (!m_evacuatedUntil.insert_or_assign(domain, never).second)
            continue;
        context.log.changed({ name(), "evacuated", "domain=" + domain.value });
        hasChanged = true;
    }
    for (auto& [domain, until] : m_evacuatedUntil) {
        if (until == never && !announced.contains(domain))
            until = keepLostUntil;
    }
    return endEvacuations(context) || hasChanged;
}

bool directory_controller::endEvacuations(decision_context& context)
{
    std::erase_if(
        m_evacuationEnds, [&](const auto& entry) { return entry.second + evacuationEndRetention <= context.now; });
    return std::erase_if(m_evacuatedUntil, [&](const auto& entry) {
        if (entry.second > context.now)
            return false;
        m_evacuationEnds[entry.first] = context.now;
        context.log.changed({ name(), "evacuation-ended", "domain=" + entry.first.value });
        return true;
    }) > 0;
}

time_point directory_controller::keepMissingUntil(time_point readStartedAt, time_point earliestEnd) const
{
    // The outage ended between the last failed read and this one. An announcement is back within the grace period of
    // the end, so it is waited for from the latest possible end on; but what left must not be used once the directory
    // has been back for the stability window, so that counts from the earliest possible end.
    return std::min(readStartedAt + m_bounds.reannounceGracePeriod,
        earliestEnd + m_bounds.outageStabilityWindow - withdrawalMargin);
}

bool directory_controller::applyAnnouncements(const endpoint_directory& directory, decision_context& context)
{
    bool hasChanged = false;
    for (const auto& [id, announced] : directory.endpoints) {
        m_missing.erase(id);
        if (m_departed.isHeld(announced, directory, context.now))
            continue;
        const auto known = m_endpoints.find(id);
        // Announcements of an earlier incarnation may be read late.
        if (known != m_endpoints.end()
            && (known->second == announced || announced.incarnation < known->second.incarnation))
            continue;
        auto merged = announced;
        // An announcement from before the endpoint started to drain may be read late.
        if (known != m_endpoints.end() && known->second.incarnation == announced.incarnation)
            merged.isDraining |= known->second.isDraining;
        merged.isDraining |= isLeaving(id, merged.incarnation);
        if (known == m_endpoints.end())
            merged.isDraining |= m_departed.release(announced);
        // A cold endpoint rewrites its cold time often; another time alone is no change of the endpoint.
        if (known != m_endpoints.end())
            known->second.coldUntil = merged.coldUntil;
        if (known != m_endpoints.end() && known->second == merged)
            continue;
        m_endpoints.insert_or_assign(id, merged);
        context.log.changed({ name(), merged.isDraining ? "draining" : "announced",
            id.value + " pool=" + merged.pool.value + " domain=" + merged.domain.value });
        hasChanged = true;
    }
    return hasChanged;
}

bool directory_controller::dropMissing(
    const endpoint_directory& directory, time_point readStartedAt, decision_context& context)
{
    const bool mayHaveExpired = readStartedAt < m_keepMissingUntil;
    return std::erase_if(m_endpoints, [&](const auto& entry) {
        const auto& id = entry.first;
        if (directory.endpoints.contains(id) || m_missing.contains(id))
            return false;
        if (mayHaveExpired) {
            m_missing.emplace(id, m_keepMissingUntil);
            context.log.changed({ name(), "missing",
                id.value + " keep-ms=" + millisecondsText(m_keepMissingUntil - context.now)
                    + " because=may-have-expired" });
            return false;
        }
        context.log.changed({ name(), "gone", id.value + " because=removed" });
        m_departed.record(entry.second, context.now);
        return true;
    }) > 0;
}

time_point directory_controller::evacuationEndedAt(const failure_domain_id& domain) const
{
    const auto found = m_evacuationEnds.find(domain);
    return found == m_evacuationEnds.end() ? time_point::min() : found->second;
}

void directory_controller::publishChange(decision_context& context)
{
    set_allowed_endpoints kept;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isDraining && !isEvacuated(endpoint.domain))
            kept.endpoints.push_back({ id, endpoint.address, endpoint.port, endpoint.incarnation });
    }
    context.commands.send(endpoint_command { std::move(kept) });
    context.raised.emplace_back(directory_changed {});
}

} // namespace kumquatbeam
