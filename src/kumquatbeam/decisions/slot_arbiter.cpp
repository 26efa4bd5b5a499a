#include "kumquatbeam/decisions/slot_arbiter.hpp"

#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>

namespace kumquatbeam {

namespace {

    double inMicroseconds(std::chrono::milliseconds time)
    {
        return static_cast<double>(std::chrono::microseconds(time).count());
    }

    bool isArbitrated(const endpoint_capacity& endpoint, const failure_domain_id& domain)
    {
        return endpoint.domain == domain && endpoint.isUsable;
    }

} // namespace

slot_count slot_arbiter::held_slots::upperBound() const
{
    return std::max({ granted, leased, running });
}

slot_count slot_arbiter::router_record::granted() const
{
    slot_count sum;
    for (const auto& [endpoint, held] : slots)
        sum += held.granted;
    return sum;
}

slot_arbiter::slot_arbiter(
    failure_domain_id domain, time_point gracePeriodEnd, const lease_holder& priorLeases, const pool_view& view)
    : m_domain(std::move(domain))
    , m_gracePeriodEnd(gracePeriodEnd)
{
    for (const auto& account : view.accounts) {
        const auto key = wireKeyOf(account.account);
        m_serviceOffsets[key]
            = static_cast<double>(priorLeases.leadOf(key).value) / static_cast<double>(account.share.value);
    }
}

bool slot_arbiter::receive(const router_presence& from, const slot_report& report)
{
    auto& router = m_routers[from.router];
    // Slots held by an earlier incarnation are free, since its connections closed when it ended.
    if (router.incarnation != from.incarnation)
        router = { .incarnation = from.incarnation };
    m_services.record(from.router, from.incarnation, report.accounts);
    bool isUrgent = false;
    for (const auto& row : report.accounts) {
        auto& accountDemand = router.demands[row.account];
        isUrgent |= accountDemand.waiting == 0 && row.waiting > 0;
        accountDemand.waiting = row.waiting;
        accountDemand.running = row.running;
    }
    for (const auto& row : report.endpoints) {
        auto& held = router.slots[row.endpoint];
        const auto before = held.upperBound();
        held.leased = row.leased;
        held.running = row.running;
        isUrgent |= held.upperBound() < before;
    }
    return isUrgent;
}

std::vector<addressed_grant> slot_arbiter::divide(const pool_view& view, time_point now, division_cause cause)
{
    updateReachability(view, now);
    raiseIdleAccounts(view);
    std::int32_t slots = 0;
    double poolSlots = 0;
    for (const auto& endpoint : view.endpoints) {
        slots += isArbitrated(endpoint, m_domain) ? endpoint.slots.value : 0;
        poolSlots += endpoint.isUsable ? endpoint.slots.value : 0;
    }
    const auto table = buildAccountTable(view, slots, poolSlots);
    const auto targets = splitOverRouters(table, divideSlots(table.claims, slots));
    const auto leaseTargets = leaseTargetsOf(targets, slots);
    setQuotas(table, targets, leaseTargets);
    if (now < m_gracePeriodEnd)
        renewReported(view);
    else
        moveLeases(view, leaseTargets);

    std::vector<addressed_grant> grants;
    for (auto& [id, router] : m_routers) {
        const bool hasChanges = router.hasNewLeases || (router.hasNewQuotas && cause == division_cause::Periodic);
        if (!router.isReachable || (!hasChanges && now < router.renewAt))
            continue;
        router.hasNewLeases = router.hasNewQuotas = false;
        // The holder's lease runs from the receipt of the grant; one exchange period covers the transit time.
        router.leaseEndsAt = now + view.leaseDuration + view.exchangePeriod;
        router.renewAt = now + view.leaseDuration / 2;
        auto grant = grantFor(router, view, table);
        grant.sequence = ++m_sequence;
        grants.push_back({ id, std::move(grant) });
    }
    return grants;
}

double slot_arbiter::normalisedService(const account_backlog& account) const
{
    const auto key = wireKeyOf(account.account);
    double service = static_cast<double>(m_services.total(key).value);
    for (const auto& [id, router] : m_routers) {
        if (const auto accountDemand = router.demands.find(key); accountDemand != router.demands.end())
            service += m_meanCost * accountDemand->second.running;
    }
    const auto raise = m_serviceOffsets.find(key);
    return service / static_cast<double>(account.share.value) + (raise == m_serviceOffsets.end() ? 0 : raise->second);
}

void slot_arbiter::updateReachability(const pool_view& view, time_point now)
{
    for (auto& [id, router] : m_routers) {
        const auto row = std::find_if(view.routers.begin(), view.routers.end(),
            [&name = id](const router_presence& candidate) { return candidate.router == name; });
        router.isReachable = row != view.routers.end() && row->isReachable;
        if (router.isReachable)
            continue;
        router.demands.clear();
        if (now >= router.leaseEndsAt)
            router.slots.clear();
    }
    for (const auto& row : view.routers) {
        if (row.isReachable)
            m_routers.try_emplace(row.router, router_record { .incarnation = row.incarnation });
    }
}

void slot_arbiter::raiseIdleAccounts(const pool_view& view)
{
    m_meanCost = static_cast<double>(view.meanCost.value);
    const auto isWaiting = [&](const account_backlog& account) {
        const auto key = wireKeyOf(account.account);
        return std::any_of(m_routers.begin(), m_routers.end(), [&](const auto& entry) {
            const auto accountDemand = entry.second.demands.find(key);
            return accountDemand != entry.second.demands.end() && accountDemand->second.waiting > 0;
        });
    };
    std::vector<const account_backlog*> idle;
    double leastService = std::numeric_limits<double>::max();
    for (const auto& account : view.accounts) {
        if (isWaiting(account))
            leastService = std::min(leastService, normalisedService(account));
        else
            idle.push_back(&account);
    }
    if (leastService == std::numeric_limits<double>::max())
        return;
    for (const auto* account : idle) {
        const auto service = normalisedService(*account);
        if (service < leastService)
            m_serviceOffsets[wireKeyOf(account->account)] += leastService - service;
    }
}

slot_arbiter::account_table slot_arbiter::buildAccountTable(const pool_view& view, double slots, double poolSlots) const
{
    account_table table;
    double weight = 0;
    double weightedService = 0;
    std::vector<bool> isBacklogged;
    const double domainFraction = poolSlots > 0 ? slots / poolSlots : 0;
    for (const auto& account : view.accounts) {
        const auto key = wireKeyOf(account.account);
        std::int64_t demand = 0;
        std::int64_t waiting = 0;
        for (const auto& [id, router] : m_routers) {
            if (const auto accountDemand = router.demands.find(key); accountDemand != router.demands.end()) {
                demand += accountDemand->second.total();
                waiting += accountDemand->second.waiting;
            }
        }
        const auto share = static_cast<double>(account.share.value);
        const auto service = normalisedService(account);
        table.keys.push_back(key);
        table.normalisedServices.push_back(service);
        table.claims.push_back({ share, std::ceil(static_cast<double>(demand) * domainFraction), 0 });
        isBacklogged.push_back(waiting > 0);
        if (waiting > 0) {
            weight += share;
            weightedService += share * service;
        }
    }
    const double horizon = m_meanCost + 2 * inMicroseconds(view.exchangePeriod);
    for (std::size_t index = 0; index < table.keys.size(); ++index) {
        auto& claim = table.claims[index];
        if (isBacklogged[index] && weight > 0)
            claim.deficit
                = (weightedService / weight - table.normalisedServices[index]) * claim.share * domainFraction / horizon;
    }
    return table;
}

slot_arbiter::router_targets slot_arbiter::splitOverRouters(
    const account_table& table, const std::vector<double>& targets) const
{
    router_targets split;
    for (const auto& [id, router] : m_routers) {
        if (router.isReachable)
            split[id].resize(table.keys.size(), 0.0);
    }
    for (std::size_t index = 0; index < table.keys.size(); ++index) {
        struct candidate {
            const entry_vm_id* router;
            account_demand accountDemand;
        };
        std::vector<candidate> candidates;
        for (const auto& [id, router] : m_routers) {
            const auto accountDemand = router.demands.find(table.keys[index]);
            if (router.isReachable && accountDemand != router.demands.end() && accountDemand->second.total() > 0)
                candidates.push_back({ &id, accountDemand->second });
        }
        std::stable_sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
            return std::pair(left.accountDemand.quota, left.accountDemand.total())
                > std::pair(right.accountDemand.quota, right.accountDemand.total());
        });
        // A target of n slots is split over at most n routers, so that it is not lost in the rounding.
        candidates.resize(std::min(candidates.size(), static_cast<std::size_t>(std::ceil(targets[index]))));
        double demand = 0;
        for (const auto& row : candidates)
            demand += static_cast<double>(row.accountDemand.total());
        for (const auto& row : candidates)
            split[*row.router][index] = targets[index] * static_cast<double>(row.accountDemand.total()) / demand;
    }
    return split;
}

slot_arbiter::lease_targets slot_arbiter::leaseTargetsOf(const router_targets& targets, std::int32_t slots) const
{
    std::vector<double> sums;
    std::vector<std::int32_t> previous;
    for (const auto& [id, accountTargets] : targets) {
        sums.push_back(std::accumulate(accountTargets.begin(), accountTargets.end(), 0.0));
        previous.push_back(m_routers.at(id).granted().value);
    }
    const auto rounded = roundToSlots(sums, previous, slots);
    lease_targets leaseTargets;
    std::int32_t allocated = 0;
    for (std::size_t index = 0; const auto& [id, accountTargets] : targets) {
        leaseTargets[id] = rounded[index];
        allocated += rounded[index++];
    }
    // Spare slots are spread over the routers, so that new calls can start without waiting for the next exchange.
    for (auto spare = slots - allocated; spare > 0 && !leaseTargets.empty();) {
        for (auto& [id, target] : leaseTargets) {
            if (spare-- > 0)
                ++target;
        }
    }
    return leaseTargets;
}

void slot_arbiter::setQuotas(
    const account_table& table, const router_targets& targets, const lease_targets& leaseTargets)
{
    for (const auto& [id, accountTargets] : targets) {
        auto& router = m_routers.at(id);
        std::vector<std::int32_t> previous;
        for (const auto& key : table.keys) {
            const auto accountDemand = router.demands.find(key);
            previous.push_back(
                accountDemand == router.demands.end() ? 0 : static_cast<std::int32_t>(accountDemand->second.quota));
        }
        const auto quotas = roundToSlots(accountTargets, previous, leaseTargets.at(id));
        for (std::size_t index = 0; index < quotas.size(); ++index) {
            if (quotas[index] == previous[index])
                continue;
            router.demands[table.keys[index]].quota = static_cast<std::uint32_t>(quotas[index]);
            router.hasNewQuotas = true;
        }
    }
}

void slot_arbiter::moveLeases(const pool_view& view, const lease_targets& leaseTargets)
{
    for (const auto& endpoint : view.endpoints) {
        if (endpoint.domain != m_domain || endpoint.isUsable)
            continue;
        for (auto& [id, router] : m_routers) {
            if (auto& held = router.slots[wireKeyOf(endpoint.endpoint)]; held.granted.value > 0) {
                held.granted = {};
                router.hasNewLeases = true;
            }
        }
    }
    for (const auto& [id, target] : leaseTargets) {
        auto& router = m_routers.at(id);
        lowerLeases(router, router.granted().value - target);
    }
    for (bool hasMoved = true; hasMoved;) {
        hasMoved = false;
        for (const auto& [id, target] : leaseTargets) {
            auto& router = m_routers.at(id);
            if (router.granted().value < target)
                hasMoved |= raiseLease(view, router);
        }
    }
}

void slot_arbiter::lowerLeases(router_record& router, std::int32_t excess)
{
    // Free slots are taken first, since another router can use them at once.
    while (excess > 0) {
        held_slots* best = nullptr;
        for (auto& [endpoint, held] : router.slots) {
            const bool isReductionPending = held.granted < held.leased;
            if (held.granted.value == 0 || !(held.isConfirmed() || isReductionPending))
                continue;
            if (!best || held.granted - held.running > best->granted - best->running)
                best = &held;
        }
        if (!best)
            return;
        best->granted -= slot_count { 1 };
        router.hasNewLeases = true;
        --excess;
    }
}

bool slot_arbiter::raiseLease(const pool_view& view, router_record& router)
{
    held_slots* best = nullptr;
    slot_count bestFree;
    for (const auto& endpoint : view.endpoints) {
        if (!isArbitrated(endpoint, m_domain))
            continue;
        const auto key = wireKeyOf(endpoint.endpoint);
        auto& held = router.slots[key];
        if (held.granted < held.leased)
            continue;
        // Calls that the router runs beyond its lease are already counted against it, so a lease may cover them.
        const auto free = freeSlotsAt(endpoint, key) + (held.upperBound() - held.granted);
        if (free > bestFree) {
            best = &held;
            bestFree = free;
        }
    }
    if (!best)
        return false;
    best->granted += slot_count { 1 };
    router.hasNewLeases = true;
    return true;
}

slot_count slot_arbiter::freeSlotsAt(const endpoint_capacity& endpoint, wire_key key) const
{
    auto free = endpoint.slots;
    for (const auto& [id, router] : m_routers) {
        if (const auto held = router.slots.find(key); held != router.slots.end())
            free -= held->second.upperBound();
    }
    return free;
}

void slot_arbiter::renewReported(const pool_view& view)
{
    for (auto& [id, router] : m_routers) {
        for (const auto& endpoint : view.endpoints) {
            const auto held = router.slots.find(wireKeyOf(endpoint.endpoint));
            if (endpoint.domain != m_domain || held == router.slots.end())
                continue;
            const auto renewed = endpoint.isUsable ? held->second.leased : slot_count {};
            router.hasNewLeases |= held->second.granted != renewed;
            held->second.granted = renewed;
        }
    }
}

slot_grant slot_arbiter::grantFor(const router_record& router, const pool_view& view, const account_table& table) const
{
    slot_grant grant { .pool = wireKeyOf(view.pool), .document = view.document, .remaining = view.leaseDuration };
    const auto leastService = table.normalisedServices.empty()
        ? 0
        : *std::min_element(table.normalisedServices.begin(), table.normalisedServices.end());
    for (std::size_t index = 0; index < table.keys.size(); ++index) {
        const auto accountDemand = router.demands.find(table.keys[index]);
        if (accountDemand == router.demands.end()
            || (accountDemand->second.total() == 0 && accountDemand->second.quota == 0))
            continue;
        const auto lead = (table.normalisedServices[index] - leastService) * table.claims[index].share;
        grant.accounts.push_back(
            { table.keys[index], accountDemand->second.quota, service_cost { static_cast<std::int64_t>(lead) } });
    }
    for (const auto& endpoint : view.endpoints) {
        if (endpoint.domain != m_domain)
            continue;
        const auto key = wireKeyOf(endpoint.endpoint);
        const auto held = router.slots.find(key);
        grant.endpoints.push_back({ key, held == router.slots.end() ? slot_count {} : held->second.granted });
    }
    return grant;
}

} // namespace kumquatbeam
