#include "kumquatbeam/controllers/route_controller.hpp"

#include <algorithm>
#include <string>

namespace kumquatbeam {

namespace {

    /// Fraction of the revocation limit after which the router reports not ready, so that the load balancer moves
    /// callers away while it still serves them. The platform uses the same fraction for a router that cannot reach its
    /// store.
    constexpr double readyFraction = 0.6;

    /// Time before the revocation limit at which requests with a key are no longer sent. It covers the transfer to the
    /// endpoint and the wait for a slot there.
    constexpr std::chrono::milliseconds sendMargin { 500 };

    time_point after(time_point from, std::chrono::milliseconds time)
    {
        return from == time_point::min() ? from : from + time;
    }

} // namespace

route_controller::route_controller(const route_bounds& bounds)
    : m_bounds(bounds)
{
}

void route_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const routes_observed& observed) { observe(observed, context); },
        [&](const source_lost& lost) { context.log.failed("source", lost.problem); },
        [&](const source_regained&) {
            context.log.changed({ "source", "regained", "" });
        },
        [&](const source_faulty& faulty) { context.log.failed("source", faulty.problem); },
    };
    std::visit(handlers, event);
}

void route_controller::describe(status_report& report) const
{
    if (m_table)
        report.document = m_table->revisionNumber;
}

decision_basis route_controller::basis(time_point now) const
{
    decision_basis basis;
    if (m_table) {
        basis.routes = m_table->revisionNumber;
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
    if (m_table && seen->revisionNumber < m_table->revisionNumber) {
        context.log.failed(name(),
            { failure_kind::StaleRevision, "route table", std::to_string(seen->revisionNumber.value),
                "at least " + std::to_string(m_table->revisionNumber.value) });
        return;
    }
    m_confirmedAt = std::max(m_confirmedAt, observed.readStartedAt);
    if (m_table && seen->revisionNumber == m_table->revisionNumber)
        return;
    if (!m_table || m_table->limits != seen->limits)
        context.commands.send(caller_command { set_caller_limits { seen->limits } });
    m_table = seen;
    context.log.changed({ name(), "in-force", "version=" + std::to_string(seen->revisionNumber.value) });
    context.raised.emplace_back(routes_changed {});
}

} // namespace kumquatbeam
