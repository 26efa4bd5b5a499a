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

    bool isOwned(const endpoint_capacity& endpoint, const failure_domain_id& domain)
    {
        return endpoint.domain == domain && endpoint.isUsable;
    }

} // namespace

slot_count slot_arbiter::held_slots::most() const
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
    failure_domain_id domain, time_point openAt, const lease_holder& predecessor, const pool_view& view)
    : m_domain(std::move(domain))
    , m_openAt(openAt)
{
    for (const auto& account : view.accounts) {
        const auto key = wireKeyOf(account.account);
        m_raises[key] = static_cast<double>(predecessor.leadOf(key).value) / static_cast<double>(account.share.value);
    }
}

bool slot_arbiter::receive(const router_presence& from, const slot_report& report)
{
    auto& router = m_routers[from.router];
    // What an earlier incarnation held is free: its connections broke with it.
    if (router.incarnation != from.incarnation)
        router = { .incarnation = from.incarnation };
    m_services.record(from.router, from.incarnation, report.accounts);
    bool isUrgent = false;
    for (const auto& row : report.accounts) {
        auto& need = router.needs[row.account];
        isUrgent |= need.waiting == 0 && row.waiting > 0;
        need.waiting = row.waiting;
        need.running = row.running;
    }
    for (const auto& row : report.endpoints) {
        auto& held = router.slots[row.endpoint];
        const auto before = held.most();
        held.leased = row.leased;
        held.running = row.running;
        isUrgent |= held.most() < before;
    }
    return isUrgent;
}

std::vector<addressed_grant> slot_arbiter::divide(const pool_view& view, time_point now, division_cause cause)
{
    dropLost(view, now);
    updateLevels(view);
    std::int32_t slots = 0;
    double poolSlots = 0;
    for (const auto& endpoint : view.endpoints) {
        slots += isOwned(endpoint, m_domain) ? endpoint.slots.value : 0;
        poolSlots += endpoint.isUsable ? endpoint.slots.value : 0;
    }
    const auto table = claimsOf(view, slots, poolSlots);
    const auto targets = splitOverRouters(table, divideSlots(table.claims, slots));
    const auto wishes = wishesOf(targets, slots);
    setQuotas(table, targets, wishes);
    if (now < m_openAt)
        renewReported(view);
    else
        moveLeases(view, wishes);

    std::vector<addressed_grant> grants;
    for (auto& [id, router] : m_routers) {
        const bool hasNews = router.hasNewLeases || (router.hasNewQuotas && cause == division_cause::Periodic);
        if (!router.isReachable || (!hasNews && now < router.renewAt))
            continue;
        router.hasNewLeases = router.hasNewQuotas = false;
        // The holder counts from when it gets the message; a beat covers the way.
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
        if (const auto need = router.needs.find(key); need != router.needs.end())
            service += m_meanCost * need->second.running;
    }
    const auto raise = m_raises.find(key);
    return service / static_cast<double>(account.share.value) + (raise == m_raises.end() ? 0 : raise->second);
}

void slot_arbiter::dropLost(const pool_view& view, time_point now)
{
    for (auto& [id, router] : m_routers) {
        const auto row = std::find_if(view.routers.begin(), view.routers.end(),
            [&name = id](const router_presence& candidate) { return candidate.router == name; });
        router.isReachable = row != view.routers.end() && row->isReachable;
        if (router.isReachable)
            continue;
        router.needs.clear();
        if (now >= router.leaseEndsAt)
            router.slots.clear();
    }
    for (const auto& row : view.routers) {
        if (row.isReachable)
            m_routers.try_emplace(row.router, router_record { .incarnation = row.incarnation });
    }
}

void slot_arbiter::updateLevels(const pool_view& view)
{
    m_meanCost = static_cast<double>(view.meanCost.value);
    const auto isWaiting = [&](const account_backlog& account) {
        const auto key = wireKeyOf(account.account);
        return std::any_of(m_routers.begin(), m_routers.end(), [&](const auto& entry) {
            const auto need = entry.second.needs.find(key);
            return need != entry.second.needs.end() && need->second.waiting > 0;
        });
    };
    std::vector<const account_backlog*> idle;
    double least = std::numeric_limits<double>::max();
    for (const auto& account : view.accounts) {
        if (isWaiting(account))
            least = std::min(least, normalisedService(account));
        else
            idle.push_back(&account);
    }
    if (least == std::numeric_limits<double>::max())
        return;
    for (const auto* account : idle) {
        const auto level = normalisedService(*account);
        if (level < least)
            m_raises[wireKeyOf(account->account)] += least - level;
    }
}

slot_arbiter::account_table slot_arbiter::claimsOf(const pool_view& view, double slots, double poolSlots) const
{
    account_table table;
    double weight = 0;
    double weighted = 0;
    std::vector<bool> isBacklogged;
    const double part = poolSlots > 0 ? slots / poolSlots : 0;
    for (const auto& account : view.accounts) {
        const auto key = wireKeyOf(account.account);
        std::int64_t demand = 0;
        std::int64_t waiting = 0;
        for (const auto& [id, router] : m_routers) {
            if (const auto need = router.needs.find(key); need != router.needs.end()) {
                demand += need->second.demand();
                waiting += need->second.waiting;
            }
        }
        const auto share = static_cast<double>(account.share.value);
        const auto level = normalisedService(account);
        table.keys.push_back(key);
        table.levels.push_back(level);
        table.claims.push_back({ share, std::ceil(static_cast<double>(demand) * part), 0 });
        isBacklogged.push_back(waiting > 0);
        if (waiting > 0) {
            weight += share;
            weighted += share * level;
        }
    }
    const double horizon = m_meanCost + 2 * inMicroseconds(view.exchangePeriod);
    for (std::size_t index = 0; index < table.keys.size(); ++index) {
        auto& claim = table.claims[index];
        if (isBacklogged[index] && weight > 0)
            claim.deficit = (weighted / weight - table.levels[index]) * claim.share * part / horizon;
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
            account_need need;
        };
        std::vector<candidate> candidates;
        for (const auto& [id, router] : m_routers) {
            const auto need = router.needs.find(table.keys[index]);
            if (router.isReachable && need != router.needs.end() && need->second.demand() > 0)
                candidates.push_back({ &id, need->second });
        }
        std::stable_sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
            return std::pair(left.need.quota, left.need.demand()) > std::pair(right.need.quota, right.need.demand());
        });
        // A target of a few slots goes to as many routers, so that it does not vanish in the rounding.
        candidates.resize(std::min(candidates.size(), static_cast<std::size_t>(std::ceil(targets[index]))));
        double demand = 0;
        for (const auto& row : candidates)
            demand += static_cast<double>(row.need.demand());
        for (const auto& row : candidates)
            split[*row.router][index] = targets[index] * static_cast<double>(row.need.demand()) / demand;
    }
    return split;
}

slot_arbiter::slot_wishes slot_arbiter::wishesOf(const router_targets& targets, std::int32_t slots) const
{
    std::vector<double> sums;
    std::vector<std::int32_t> previous;
    for (const auto& [id, parts] : targets) {
        sums.push_back(std::accumulate(parts.begin(), parts.end(), 0.0));
        previous.push_back(m_routers.at(id).granted().value);
    }
    const auto rounded = roundToSlots(sums, previous, slots);
    slot_wishes wishes;
    std::int32_t given = 0;
    for (std::size_t index = 0; const auto& [id, parts] : targets) {
        wishes[id] = rounded[index];
        given += rounded[index++];
    }
    // Spare slots are spread, so that new work can start without waiting for a beat.
    for (auto spare = slots - given; spare > 0 && !wishes.empty();) {
        for (auto& [id, wish] : wishes) {
            if (spare-- > 0)
                ++wish;
        }
    }
    return wishes;
}

void slot_arbiter::setQuotas(const account_table& table, const router_targets& targets, const slot_wishes& wishes)
{
    for (const auto& [id, parts] : targets) {
        auto& router = m_routers.at(id);
        std::vector<std::int32_t> previous;
        for (const auto& key : table.keys) {
            const auto need = router.needs.find(key);
            previous.push_back(need == router.needs.end() ? 0 : static_cast<std::int32_t>(need->second.quota));
        }
        const auto quotas = roundToSlots(parts, previous, wishes.at(id));
        for (std::size_t index = 0; index < quotas.size(); ++index) {
            if (quotas[index] == previous[index])
                continue;
            router.needs[table.keys[index]].quota = static_cast<std::uint32_t>(quotas[index]);
            router.hasNewQuotas = true;
        }
    }
}

void slot_arbiter::moveLeases(const pool_view& view, const slot_wishes& wishes)
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
    for (const auto& [id, wish] : wishes) {
        auto& router = m_routers.at(id);
        lowerLeases(router, router.granted().value - wish);
    }
    for (bool hasMoved = true; hasMoved;) {
        hasMoved = false;
        for (const auto& [id, wish] : wishes) {
            auto& router = m_routers.at(id);
            if (router.granted().value < wish)
                hasMoved |= raiseLease(view, router);
        }
    }
}

void slot_arbiter::lowerLeases(router_record& router, std::int32_t excess)
{
    // Free slots go first: they can serve another router at once.
    while (excess > 0) {
        held_slots* best = nullptr;
        for (auto& [endpoint, held] : router.slots) {
            const bool isPendingDown = held.granted < held.leased;
            if (held.granted.value == 0 || !(held.isConfirmed() || isPendingDown))
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
        if (!isOwned(endpoint, m_domain))
            continue;
        const auto key = wireKeyOf(endpoint.endpoint);
        auto& held = router.slots[key];
        if (held.granted < held.leased)
            continue;
        // Calls that the router runs beyond its lease are its own: a lease may cover them.
        const auto free = freeAt(endpoint, key) + (held.most() - held.granted);
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

slot_count slot_arbiter::freeAt(const endpoint_capacity& endpoint, wire_key key) const
{
    auto free = endpoint.slots;
    for (const auto& [id, router] : m_routers) {
        if (const auto held = router.slots.find(key); held != router.slots.end())
            free -= held->second.most();
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
    const auto least = table.levels.empty() ? 0 : *std::min_element(table.levels.begin(), table.levels.end());
    for (std::size_t index = 0; index < table.keys.size(); ++index) {
        const auto need = router.needs.find(table.keys[index]);
        if (need == router.needs.end() || (need->second.demand() == 0 && need->second.quota == 0))
            continue;
        const auto lead = (table.levels[index] - least) * table.claims[index].share;
        grant.accounts.push_back(
            { table.keys[index], need->second.quota, service_cost { static_cast<std::int64_t>(lead) } });
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
