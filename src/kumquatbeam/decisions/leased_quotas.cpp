#include "kumquatbeam/decisions/leased_quotas.hpp"

#include "kumquatbeam/decisions/local_strategy.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <set>

namespace kumquatbeam {

namespace {

    /// Maximum number of urgent messages, those sent ahead of the periodic ones, in one exchange period.
    constexpr int urgentMessagesPerPeriod = 4;

    /// A confirmation frees slots for other routers and is short, so more of them may be sent in one exchange period.
    constexpr int confirmationsPerPeriod = 8;

    const router_presence* findRouter(const pool_view& view, const entry_vm_id& id)
    {
        const auto row = std::find_if(view.routers.begin(), view.routers.end(),
            [&](const router_presence& router) { return router.router == id; });
        return row == view.routers.end() ? nullptr : &*row;
    }

    std::set<failure_domain_id> domainsOf(const pool_view& view)
    {
        std::set<failure_domain_id> domains;
        for (const auto& endpoint : view.endpoints)
            domains.insert(endpoint.domain);
        return domains;
    }

    /// The earliest time for an urgent message after one at `last`.
    time_point earliestUrgentSend(
        time_point last, const pool_view& view, time_point now, int perPeriod = urgentMessagesPerPeriod)
    {
        return last == time_point::min() ? now : std::max(now, last + view.exchangePeriod / perPeriod);
    }

} // namespace

std::optional<placement_choice> leased_quotas::choose(const pool_view& view, time_point now)
{
    m_holder.expire(now);
    const auto* account = nextAccount(view);
    if (!account)
        return std::nullopt;
    const auto endpoint = leastLoadedEndpoint(view, [&](std::size_t index) { return slotsAt(view, index, now); });
    if (!endpoint.best) {
        if (m_reporter.hasUnreportedDemand(view))
            m_reportAt = std::min(m_reportAt, earliestUrgentSend(m_reportedAt, view, now));
        return std::nullopt;
    }
    const auto leaseExpiry = m_holder.expiryOf(endpoint.best->domain);
    const bool isLeased = leaseExpiry > now;
    const auto reason = isLeased ? "furthest below its quota, fewest calls on leased slots" : "static slice, no lease";
    return makePlacementChoice(*account, endpoint, reason, isLeased ? leaseExpiry : never);
}

void leased_quotas::receive(const entry_vm_id& from, const peer_message& message, const pool_view& view, time_point now)
{
    if (const auto* report = std::get_if<slot_report>(&message))
        receiveReport(from, *report, view, now);
    else if (const auto* grant = std::get_if<slot_grant>(&message))
        receiveGrant(from, *grant, view, now);
}

time_point leased_quotas::nextExchange() const
{
    return std::min({ m_reportAt, m_confirmAt, m_divideAt, m_urgentDivideAt, m_holder.nextExpiry(), m_fallbackAt });
}

std::vector<addressed_message> leased_quotas::exchange(const pool_view& view, time_point now)
{
    std::vector<addressed_message> messages;
    m_holder.expire(now);
    if (m_reportedAt == time_point::min())
        m_fallbackAt = now + view.leaseDuration + 2 * view.exchangePeriod;
    if (now >= m_fallbackAt)
        m_fallbackAt = never;
    updateArbiters(view, now);
    if (now >= m_reportAt)
        sendReports(view, now, messages);
    else if (now >= m_confirmAt)
        sendConfirmations(view, now, messages);
    if (now >= std::min(m_divideAt, m_urgentDivideAt))
        sendGrants(view, now, messages);
    return messages;
}

strategy_state leased_quotas::describe(const pool_view& view) const
{
    strategy_state state;
    for (const auto& domain : domainsOf(view))
        state.domains.push_back({ domain, m_assignment->arbiterOf(view, domain), m_holder.leasedSlotsIn(domain) });
    for (const auto& account : view.accounts) {
        const auto lead = m_holder.leadOf(wireKeyOf(account.account));
        state.accounts.push_back(
            { account.account, static_cast<double>(lead.value) / static_cast<double>(account.share.value) });
    }
    return state;
}

void leased_quotas::receiveReport(
    const entry_vm_id& from, const slot_report& report, const pool_view& view, time_point now)
{
    const auto* sender = findRouter(view, from);
    if (!sender)
        return;
    updateArbiters(view, now);
    bool isUrgent = false;
    for (auto& [domain, arbiter] : m_arbiters)
        isUrgent |= arbiter.receive(*sender, report);
    if (isUrgent)
        m_urgentDivideAt = std::min(m_urgentDivideAt, earliestUrgentSend(m_dividedAt, view, now));
}

void leased_quotas::receiveGrant(
    const entry_vm_id& from, const slot_grant& grant, const pool_view& view, time_point now)
{
    if (grant.endpoints.empty())
        return;
    const auto endpoint = std::find_if(view.endpoints.begin(), view.endpoints.end(),
        [&](const endpoint_capacity& row) { return wireKeyOf(row.endpoint) == grant.endpoints.front().endpoint; });
    if (endpoint == view.endpoints.end() || m_assignment->arbiterOf(view, endpoint->domain) != from)
        return;
    const auto before = m_holder.leasedSlotsIn(endpoint->domain);
    m_holder.accept(endpoint->domain, grant, now);
    // An arbiter can lease a slot to another router only after this router has confirmed its release.
    if (m_holder.leasedSlotsIn(endpoint->domain) < before) {
        m_unconfirmed.insert(endpoint->domain);
        m_confirmAt = std::min(m_confirmAt, earliestUrgentSend(m_confirmedAt, view, now, confirmationsPerPeriod));
    }
}

const account_backlog* leased_quotas::nextAccount(const pool_view& view) const
{
    struct rank {
        std::int64_t belowQuota;
        double lead;
    };
    const account_backlog* best = nullptr;
    rank bestRank {};
    for (const auto& account : view.accounts) {
        if (account.waiting == 0)
            continue;
        const auto key = wireKeyOf(account.account);
        const rank candidate { std::max<std::int64_t>(0, m_holder.quotaOf(key) - account.running),
            static_cast<double>(m_holder.leadOf(key).value + view.meanCost.value * account.running)
                / static_cast<double>(account.share.value) };
        const bool isBetter = candidate.belowQuota != bestRank.belowQuota ? candidate.belowQuota > bestRank.belowQuota
                                                                          : candidate.lead < bestRank.lead;
        if (!best || isBetter) {
            best = &account;
            bestRank = candidate;
        }
    }
    return best;
}

slot_count leased_quotas::slotsAt(const pool_view& view, std::size_t endpointIndex, time_point now) const
{
    const auto& endpoint = view.endpoints[endpointIndex];
    if (m_holder.expiryOf(endpoint.domain) > now)
        return m_holder.leasedSlotsAt(endpoint.domain, wireKeyOf(endpoint.endpoint));
    return fallbackSlots(view, endpointIndex);
}

slot_count leased_quotas::fallbackSlots(const pool_view& view, std::size_t endpointIndex) const
{
    const auto& endpoint = view.endpoints[endpointIndex];
    const bool hadGrant = m_holder.expiryOf(endpoint.domain) != time_point {};
    if (endpoint.domain != view.domain || (!hadGrant && (m_fallbackAt != never || m_reportedAt == time_point::min())))
        return {};
    pool_view domainView { .self = view.self, .endpoints = view.endpoints };
    for (const auto& router : view.routers) {
        if (router.domain == view.domain)
            domainView.routers.push_back(router);
    }
    return staticSlice(domainView, endpointIndex);
}

void leased_quotas::updateArbiters(const pool_view& view, time_point now)
{
    std::map<failure_domain_id, entry_vm_id> assigned;
    for (const auto& domain : domainsOf(view)) {
        assigned[domain] = m_assignment->arbiterOf(view, domain);
        if (assigned[domain] == view.self && !m_arbiters.contains(domain))
            m_arbiters.emplace(
                domain, slot_arbiter(domain, now + view.leaseDuration + view.exchangePeriod, m_holder, view));
    }
    std::erase_if(m_arbiters, [&](const auto& entry) {
        const auto row = assigned.find(entry.first);
        return row == assigned.end() || row->second != view.self;
    });
    if (assigned == m_arbiterByDomain)
        return;
    // A new arbiter gets a report of this router's leases at once.
    m_arbiterByDomain = std::move(assigned);
    m_reportAt = std::min(m_reportAt, now);
}

void leased_quotas::sendReports(const pool_view& view, time_point now, std::vector<addressed_message>& messages)
{
    m_reportedAt = now;
    m_reportAt = now + view.exchangePeriod;
    std::map<entry_vm_id, std::set<failure_domain_id>> receivers;
    for (const auto& [domain, arbiter] : m_arbiterByDomain) {
        if (!arbiter.value.empty())
            receivers[arbiter].insert(domain);
    }
    m_unconfirmed.clear();
    m_confirmAt = never;
    for (const auto& [arbiter, domains] : receivers)
        sendReport(arbiter, domains, view, now, messages);
}

void leased_quotas::sendConfirmations(const pool_view& view, time_point now, std::vector<addressed_message>& messages)
{
    m_confirmedAt = now;
    m_confirmAt = never;
    std::set<entry_vm_id> receivers;
    for (const auto& domain : m_unconfirmed)
        receivers.insert(m_arbiterByDomain[domain]);
    m_unconfirmed.clear();
    for (const auto& arbiter : receivers) {
        demand_reporter::domain_set domains;
        for (const auto& [domain, assigned] : m_arbiterByDomain) {
            if (assigned == arbiter)
                domains.insert(domain);
        }
        if (!arbiter.value.empty())
            sendReport(arbiter, domains, view, now, messages);
    }
}

void leased_quotas::sendReport(const entry_vm_id& arbiter, const demand_reporter::domain_set& domains,
    const pool_view& view, time_point now, std::vector<addressed_message>& messages)
{
    const auto* router = findRouter(view, arbiter);
    auto report
        = m_reporter.reportTo(arbiter, router ? router->incarnation : incarnation_id {}, domains, view, m_holder, now);
    if (!report)
        return;
    if (arbiter == view.self)
        receiveReport(arbiter, *report, view, now);
    else
        messages.push_back({ arbiter, std::move(*report) });
}

void leased_quotas::sendGrants(const pool_view& view, time_point now, std::vector<addressed_message>& messages)
{
    const auto cause = now >= m_divideAt ? division_cause::Periodic : division_cause::Urgent;
    m_dividedAt = now;
    m_urgentDivideAt = never;
    if (cause == division_cause::Periodic)
        m_divideAt = now + view.exchangePeriod;
    for (auto& [domain, arbiter] : m_arbiters) {
        for (auto& row : arbiter.divide(view, now, cause)) {
            if (row.to == view.self)
                m_holder.accept(domain, row.grant, now);
            else
                messages.push_back({ row.to, std::move(row.grant) });
        }
    }
}

} // namespace kumquatbeam
