#include "kumquatbeam/controllers/route_controller.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Fraction of the revocation limit after which the router reports not ready, so that the load balancer moves
    /// callers away while it still serves them. The platform uses the same fraction for a router that cannot reach its
    /// store.
    constexpr double readyFraction = 0.6;

    /// Time before the revocation limit at which requests with a key are no longer sent. It covers the transfer to the
    /// endpoint and the wait for a slot there.
    constexpr std::chrono::milliseconds sendMargin { 500 };

    /// Time for which a table that another router has named as in force counts after the last heartbeat that named it:
    /// as long as a silent router is known.
    constexpr auto namedTableRetention = fleet_controller::silentRouterRetention;

    std::string describeTable(revision version, source_era era)
    {
        return "version=" + std::to_string(version.value) + " era=" + std::to_string(era.value);
    }

    time_point after(time_point from, std::chrono::milliseconds time)
    {
        return from == time_point::min() ? from : from + time;
    }

} // namespace

route_controller::route_controller(
    const route_bounds& bounds, const std::string& ownAddress, std::vector<std::string> seeds)
    : m_bounds(bounds)
    , m_heardSeeds(std::move(seeds), ownAddress)
{
}

void route_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const routes_observed& observed) { observe(observed, context); },
        [&](const peer_received& received) {
            if (const auto* heartbeat = std::get_if<fleet_heartbeat>(&received.message))
                receiveNamed(*heartbeat, context);
        },
        [&](const settings_reloaded& reloaded) { m_heardSeeds.setSeeds(reloaded.seeds); },
        [&](const source_lost& lost) { context.log.failed("source", lost.problem); },
        [&](const source_regained&) {
            context.log.changed({ "source", "regained", "" });
        },
        [&](const source_faulty& faulty) { context.log.failed("source", faulty.problem); },
    };
    std::visit(handlers, event);
}

time_point route_controller::nextDeadline() const
{
    return m_newestReadAt > m_confirmedAt ? m_firstReadAt + hearingTime : never;
}

void route_controller::onDeadline(decision_context& context)
{
    confirmAfterHearing(context);
}

void route_controller::describe(status_report& report) const
{
    if (m_table)
        report.document = m_table->revisionNumber;
}

revision route_controller::knownVersion() const
{
    return m_table && m_confirmedAt != time_point::min() ? m_table->revisionNumber : revision {};
}

decision_basis route_controller::basis(time_point now) const
{
    decision_basis basis;
    if (m_table) {
        basis.routes = m_table->revisionNumber;
        if (m_confirmedAt != time_point::min())
            basis.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_confirmedAt);
    }
    return basis;
}

time_point route_controller::freshUntil() const
{
    const auto part
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_bounds.keyRevocationLimit * readyFraction);
    return after(m_confirmedAt, part);
}

time_point route_controller::keysExpireAt() const
{
    return after(m_confirmedAt, m_bounds.keyRevocationLimit - sendMargin);
}

void route_controller::observe(const routes_observed& observed, decision_context& context)
{
    const auto& seen = observed.table;
    m_firstReadAt = std::min(m_firstReadAt, observed.readStartedAt);
    if (m_table && (seen->revisionNumber < m_table->revisionNumber || observed.era < m_era)) {
        context.log.failed(name(),
            { failure_kind::StaleRevision, "route table", describeTable(seen->revisionNumber, observed.era),
                "at least " + describeTable(m_table->revisionNumber, m_era) });
        return;
    }
    if (isOlderThanNamed(observed, context.now))
        context.log.failed(name(),
            { failure_kind::StaleRevision, "route table", describeTable(seen->revisionNumber, observed.era),
                "at least version=" + std::to_string(m_named.version.value) + ", which another router has in force" });
    else
        m_newestReadAt = std::max(m_newestReadAt, observed.readStartedAt);
    const bool isFirst = !m_table;
    const bool isKnown = m_table && seen->revisionNumber == m_table->revisionNumber && observed.era == m_era;
    if (!isKnown)
        replaceTable(seen, observed.era, context);
    if (!isHearing(context.now))
        m_confirmedAt = m_newestReadAt;
    else if (isFirst)
        context.log.changed({ name(), "hearing",
            describeTable(seen->revisionNumber, m_era) + " for-ms=" + std::to_string(hearingTime.count())
                + " because=started-in-a-restored-store" });
}

void route_controller::replaceTable(
    const std::shared_ptr<const route_table>& seen, source_era era, decision_context& context)
{
    if (!m_table || m_table->limits != seen->limits)
        context.commands.send(caller_command { set_caller_limits { seen->limits } });
    m_table = seen;
    m_era = era;
    context.log.changed({ name(), "in-force", describeTable(seen->revisionNumber, m_era) });
    context.raised.emplace_back(routes_changed {});
}

void route_controller::receiveNamed(const fleet_heartbeat& heartbeat, decision_context& context)
{
    if (heartbeat.routes > m_named.version || context.now >= m_named.forgetAt)
        m_named = { .version = heartbeat.routes, .heardAt = context.now };
    if (heartbeat.routes == m_named.version)
        m_named.forgetAt = context.now + namedTableRetention;
    // A router that names no version does not know whether its own is the newest.
    if (heartbeat.routes > revision {})
        m_heardSeeds.record(heartbeat.address);
    if (!m_table || !isStartingIn(m_era, context.now) || m_newestReadAt == time_point::min())
        return;
    if (m_named.version <= m_table->revisionNumber) {
        confirmAfterHearing(context);
        return;
    }
    m_newestReadAt = time_point::min();
    m_confirmedAt = time_point::min();
    context.log.changed({ name(), "unconfirmed",
        describeTable(m_table->revisionNumber, m_era) + " because=" + heartbeat.from.value
            + "-has-version=" + std::to_string(m_named.version.value) });
}

void route_controller::confirmAfterHearing(decision_context& context)
{
    if (m_newestReadAt <= m_confirmedAt || isHearing(context.now))
        return;
    m_confirmedAt = m_newestReadAt;
    context.log.changed({ name(), "confirmed", describeTable(m_table->revisionNumber, m_era) });
    context.raised.emplace_back(keys_confirmed {});
}

bool route_controller::isStartingIn(source_era era, time_point now) const
{
    // A process that starts after a restore has first read the older copy, perhaps before it heard of another router.
    // It has no confirmation from before the restore that could still hold.
    return era > source_era {} && now < m_firstReadAt + m_bounds.keyRevocationLimit;
}

bool route_controller::isHearing(time_point now) const
{
    return m_era > source_era {} && now < m_firstReadAt + hearingTime && !m_heardSeeds.areComplete();
}

bool route_controller::isOlderThanNamed(const routes_observed& observed, time_point now) const
{
    return observed.table->revisionNumber < m_named.version && now < m_named.forgetAt
        && (m_named.heardAt <= observed.readStartedAt || isStartingIn(observed.era, now));
}

} // namespace kumquatbeam
