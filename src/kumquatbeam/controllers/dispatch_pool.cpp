#include "kumquatbeam/controllers/dispatch_pool.hpp"

#include "kumquatbeam/decisions/admission/wait_limit.hpp"
#include "kumquatbeam/decisions/placement/least_running.hpp"
#include "kumquatbeam/decisions/placement/prefix_affinity.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatbeam {

namespace {

    std::unique_ptr<placement_strategy> strategyFor(const routed_pool& pool)
    {
        if (pool.engine)
            return std::make_unique<prefix_affinity>();
        return std::make_unique<least_running>();
    }

    endpoint_view* findIn(std::vector<endpoint_view>& rows, const endpoint_id& endpoint, std::int64_t incarnation)
    {
        const auto found = std::find_if(rows.begin(), rows.end(),
            [&](const endpoint_view& row) { return row.endpoint == endpoint && row.incarnation == incarnation; });
        return found == rows.end() ? nullptr : &*found;
    }

} // namespace

dispatch_pool::dispatch_pool(const routed_pool& pool, const fleet_controller& fleet)
    : m_id(pool.id)
    , m_fleet(fleet)
    , m_strategy(strategyFor(pool))
    , m_shares(fleet.peerRates())
    , m_allowance(fleet.self())
{
}

void dispatch_pool::refresh(const route_table& table, const route_bounds& bounds, const directory_controller& directory)
{
    const auto& announced = directory.endpoints();
    m_retries.setLimits({ bounds.retryRatio, bounds.retryAllowance, bounds.retryWindow });
    setColdLimit(table.pools.at(m_id), bounds);
    m_shares.setCapacity(static_cast<double>(table.tokensPerSecond));
    auto old = std::exchange(m_endpoints, {});
    old.insert(old.end(), m_formerEndpoints.begin(), m_formerEndpoints.end());
    m_evacuated.clear();
    std::set<endpoint_id> names;
    for (const auto& [name, description] : announced) {
        if (description.pool != m_id)
            continue;
        endpoint_view row { .endpoint = name,
            .key = wireKeyOf(name),
            .domain = description.domain,
            .slots = description.slots,
            .incarnation = description.incarnation };
        // The load stays with the row of its incarnation; see `m_formerEndpoints`.
        if (auto* before = findIn(old, name, description.incarnation)) {
            row = *before;
            before->running = 0;
        }
        row.slots = description.slots;
        if (directory.isEvacuated(description.domain))
            m_evacuated.insert(name);
        row.isUsable = !description.isDraining && !m_evacuated.contains(name);
        row.coldUntil = m_hasColdLimit ? m_cold.coldUntil(description, directory.evacuationEndedAt(description.domain))
                                       : time_point::min();
        names.insert(name);
        m_endpoints.push_back(std::move(row));
    }
    m_formerEndpoints.clear();
    std::copy_if(old.begin(), old.end(), std::back_inserter(m_formerEndpoints),
        [](const endpoint_view& row) { return row.running > 0; });
    m_speeds.refresh(m_endpoints, m_fleet.lastRateNumber());
    m_health.setEndpoints(names);
    // A new incarnation has asked for nothing yet.
    std::erase_if(m_quiet, [&](const auto& entry) {
        const auto found = announced.find(entry.first);
        return found == announced.end() || found->second.incarnation != entry.second.incarnation;
    });
}

void dispatch_pool::updatePeerLoad()
{
    for (auto& row : m_endpoints) {
        const auto load = m_fleet.peerLoad(row.key);
        row.peerRunning = load.running;
        row.peerPrefillTokens = load.prefillTokens;
        if (const auto* report = m_learnsSpeeds ? m_fleet.peerRate(row.key) : nullptr)
            m_speeds.recordReport(row, indexOf(row), report->rate, report->number, report->at);
    }
    if (m_membersVersion != m_fleet.membersVersion()) {
        m_membersVersion = m_fleet.membersVersion();
        m_allowance.setRouters(m_fleet.otherRouters());
    }
}

void dispatch_pool::setColdLimit(const routed_pool& pool, const route_bounds& bounds)
{
    const auto limit = coldLimitOf(pool, bounds);
    m_hasColdLimit = limit.has_value();
    m_allowance.setLimit(limit.value_or(0));
    if (m_hasColdLimit)
        m_cold.setStartDuration(pool.coldStart->duration);
}

void dispatch_pool::recordCold(const endpoint_id& endpoint, std::int64_t incarnation, time_point until)
{
    auto* row = m_hasColdLimit ? findIn(m_endpoints, endpoint, incarnation) : nullptr;
    if (!row)
        return;
    m_cold.recordReport(endpoint, incarnation, until);
    row->coldUntil = std::max(row->coldUntil, until);
}

std::vector<std::pair<endpoint_id, bool>> dispatch_pool::takeColdChanges(time_point now)
{
    std::vector<std::pair<endpoint_id, bool>> changes;
    std::set<endpoint_id> cold;
    for (const auto& row : m_endpoints) {
        const bool isCold = now < row.coldUntil;
        if (isCold)
            cold.insert(row.endpoint);
        if (isCold != m_knownCold.contains(row.endpoint))
            changes.emplace_back(row.endpoint, isCold);
    }
    m_knownCold = std::move(cold);
    return changes;
}

time_point dispatch_pool::nextWarmAt(time_point now) const
{
    time_point earliest = never;
    for (const auto& row : m_endpoints) {
        if (now < row.coldUntil)
            earliest = std::min(earliest, row.coldUntil);
    }
    return earliest;
}

bool dispatch_pool::isWhollyEvacuated() const
{
    return !m_evacuated.empty()
        && std::none_of(m_endpoints.begin(), m_endpoints.end(), [](const endpoint_view& row) { return row.isUsable; });
}

std::optional<time_point> dispatch_pool::retryAt(time_point deadline, time_point now) const
{
    if (!isWhollyEvacuated())
        return quietUntil(now);
    const auto longest = std::chrono::duration_cast<clock::duration>((deadline - now) * retryDelayFraction);
    return now + std::min<clock::duration>(evacuatedRetryDelay, longest);
}

void dispatch_pool::recordUnplaced(time_point now)
{
    m_counts.refusedEvacuated += isWhollyEvacuated() ? 1 : 0;
    m_counts.foundOnlyCold += hasOnlyCold(now) ? 1 : 0;
}

bool dispatch_pool::hasOnlyCold(time_point now) const
{
    bool hasCold = false;
    // The usual case, and each refusal asks.
    if (m_knownCold.empty())
        return hasCold;
    for (const auto& row : m_endpoints) {
        if (!mayUseWhenNotQuiet(row, now) || isQuiet(row.endpoint, now))
            continue;
        if (mayUseCold(row, now))
            return false;
        hasCold = true;
    }
    return hasCold;
}

bool dispatch_pool::mayUseCold(const endpoint_view& row, time_point now) const
{
    return now >= row.coldUntil || (m_fleet.knowsMembers(now) && m_allowance.admits(row.key, now));
}

bool dispatch_pool::recordQuiet(const endpoint_id& endpoint, std::int64_t incarnation, time_point until)
{
    auto& quiet = m_quiet[endpoint];
    if (quiet.incarnation == incarnation && until <= quiet.until)
        return false;
    quiet = { incarnation, until };
    return true;
}

bool dispatch_pool::isQuiet(const endpoint_id& endpoint, time_point now) const
{
    const auto quiet = m_quiet.find(endpoint);
    return quiet != m_quiet.end() && now < quiet->second.until;
}

std::optional<time_point> dispatch_pool::quietUntil(time_point now) const
{
    std::optional<time_point> earliest;
    // The usual case, and each refusal asks.
    if (m_quiet.empty())
        return earliest;
    for (const auto& row : m_endpoints) {
        if (!mayUseWhenNotQuiet(row, now))
            continue;
        if (!isQuiet(row.endpoint, now))
            return std::nullopt;
        const auto until = m_quiet.at(row.endpoint).until;
        earliest = std::min(earliest.value_or(until), until);
    }
    return earliest;
}

bool dispatch_pool::hasUsableEndpoint(time_point now) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(),
        [&](const endpoint_view& row) { return mayUseWhenNotQuiet(row, now) && !isQuiet(row.endpoint, now); });
}

std::optional<placement> dispatch_pool::choose(const request_context& request, const failure_domain_id& ownDomain,
    const std::set<endpoint_id>& tried, time_point now) const
{
    auto endpoints = m_endpoints;
    for (auto& row : endpoints)
        row.isUsable = mayUse(row, now) && !tried.contains(row.endpoint);
    return m_strategy->place({ request.call->prompt, ownDomain, waitLimitOf(request, now) }, endpoints, now);
}

void dispatch_pool::recordRequested(const request_context& request, time_point now)
{
    if (!request.account.value.empty())
        m_shares.recordRequested(request.account, request.call->prompt.cost(), now);
}

void dispatch_pool::recordAdmitted(const request_context& request, time_point now)
{
    m_retries.recordRequest(now);
    if (!request.account.value.empty())
        m_shares.recordAdmitted(request.account, request.call->prompt.cost(), now);
}

token_count dispatch_pool::recordPlaced(const prompt_metadata& prompt, const placement& choice, time_point now)
{
    m_strategy->recordPlaced(prompt, choice.endpoint, now);
    const auto row = std::find_if(m_endpoints.begin(), m_endpoints.end(),
        [&](const endpoint_view& known) { return known.endpoint == choice.endpoint; });
    if (row == m_endpoints.end())
        return choice.prefillTokens;
    ++row->running;
    row->prefillTokens += choice.prefillTokens;
    m_allowance.recordSent(row->key, now);
    m_counts.sentToCold += now < row->coldUntil ? 1 : 0;
    return row->totalPrefillTokens();
}

void dispatch_pool::recordPrefilled(const endpoint_id& endpoint, std::int64_t incarnation, token_count prefilled)
{
    if (auto* row = find(endpoint, incarnation))
        row->prefillTokens = std::max(row->prefillTokens - prefilled, token_count {});
}

void dispatch_pool::recordEnded(const endpoint_id& endpoint, std::int64_t incarnation, token_count pendingPrefill)
{
    if (auto* row = find(endpoint, incarnation)) {
        // The pool may have been removed from the route table and added again while the call ran.
        row->running = std::max<std::int64_t>(row->running - 1, 0);
        row->prefillTokens = std::max(row->prefillTokens - pendingPrefill, token_count {});
    }
    std::erase_if(m_formerEndpoints, [](const endpoint_view& row) { return row.running == 0; });
}

void dispatch_pool::recordSpeed(
    const endpoint_id& endpoint, std::int64_t incarnation, const prefill_sample& sample, time_point now)
{
    auto* row = m_learnsSpeeds ? findIn(m_endpoints, endpoint, incarnation) : nullptr;
    if (row)
        m_speeds.recordSample(*row, indexOf(*row), sample, now);
}

void dispatch_pool::recordLoad(const endpoint_load& load, std::int64_t incarnation, time_point now)
{
    auto* row = m_mayLearnSpeeds && load.slowdown ? findIn(m_endpoints, load.endpoint, incarnation) : nullptr;
    if (!row)
        return;
    m_learnsSpeeds = true;
    row->reportedCalls = load.waiting > 0 ? load.running + load.waiting : 0;
    row->reportedSlowdown = *load.slowdown;
    row->reportUntil = now + reportRetention;
    m_speeds.recordSlowdown(*row, indexOf(*row), *load.slowdown, now);
}

void dispatch_pool::recordOutcome(const attempt_ended& ended, std::int64_t incarnation, time_point now)
{
    const auto problem = ended.problem ? ended.problem->kind : failure_kind::None;
    // The endpoint may have restarted, and be cold before a read shows it.
    const bool mayHaveRestarted
        = problem == failure_kind::EndpointUnreachable || problem == failure_kind::EndpointBroke;
    auto* row = mayHaveRestarted && m_hasColdLimit ? findIn(m_endpoints, ended.endpoint, incarnation) : nullptr;
    if (row) {
        m_cold.recordFailure(ended.endpoint, incarnation, now);
        row->coldUntil = never;
    }
    if (problem == failure_kind::EndpointReplaced)
        m_replaced[ended.endpoint] = now + replacedCooldown;
    else if (ended.outcome == attempt_outcome::Completed)
        m_health.recordAnswer(ended.endpoint, now);
    else if (problem == failure_kind::EndpointUnreachable)
        m_health.recordUnreachable(ended.endpoint, now);
    else if (problem == failure_kind::EndpointBroke || problem == failure_kind::EndpointTimedOut
        || problem == failure_kind::AnswerMismatched)
        m_health.recordFailure(ended.endpoint, now);
}

endpoint_view* dispatch_pool::find(const endpoint_id& endpoint, std::int64_t incarnation)
{
    auto* row = findIn(m_endpoints, endpoint, incarnation);
    return row ? row : findIn(m_formerEndpoints, endpoint, incarnation);
}

bool dispatch_pool::mayUse(const endpoint_view& row, time_point now) const
{
    return mayUseWhenNotQuiet(row, now) && !isQuiet(row.endpoint, now) && mayUseCold(row, now);
}

bool dispatch_pool::mayUseWhenNotQuiet(const endpoint_view& row, time_point now) const
{
    const auto replaced = m_replaced.find(row.endpoint);
    const bool isReplaced = replaced != m_replaced.end() && now < replaced->second;
    return row.isUsable && !isReplaced && m_health.admits(row.endpoint, row.running > 0, now);
}

std::chrono::microseconds dispatch_pool::waitLimitOf(const request_context& request, time_point now) const
{
    const auto latencyTarget
        = std::chrono::duration_cast<std::chrono::microseconds>(request.matched->route->latencyTarget);
    const auto shareUsage = request.account.value.empty() ? 0 : m_shares.shareUsage(request.account, now);
    std::chrono::microseconds waits { 0 };
    for (const auto& row : m_endpoints)
        waits += m_strategy->waitTime(row);
    const auto engines = static_cast<double>(std::max<std::size_t>(m_endpoints.size(), 1));
    const auto pressure = static_cast<double>(waits.count()) / engines / static_cast<double>(latencyTarget.count());
    return std::chrono::duration_cast<std::chrono::microseconds>(latencyTarget * waitFractionOf(shareUsage, pressure));
}

} // namespace kumquatbeam
