#include "kumquatbeam/controllers/dispatch_pool.hpp"

#include "kumquatbeam/decisions/admission/wait_limit.hpp"
#include "kumquatbeam/decisions/placement/least_running.hpp"
#include "kumquatbeam/decisions/placement/prefix_affinity.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    std::unique_ptr<placement_strategy> strategyFor(const routed_pool& pool)
    {
        if (pool.engine)
            return std::make_unique<prefix_affinity>();
        return std::make_unique<least_running>();
    }

} // namespace

dispatch_pool::dispatch_pool(
    const routed_pool& pool, const shared_retry_budget::limits& limits, const fleet_controller& fleet)
    : m_id(pool.id)
    , m_fleet(fleet)
    , m_strategy(strategyFor(pool))
    , m_retries(limits)
    , m_shares(fleet.peerRates())
{
}

void dispatch_pool::refresh(const route_table& table, const std::map<endpoint_id, announced_endpoint>& announced)
{
    m_shares.setCapacity(static_cast<double>(table.tokensPerSecond));
    auto old = std::exchange(m_endpoints, {});
    std::set<endpoint_id> names;
    for (const auto& [name, description] : announced) {
        if (description.pool != m_id)
            continue;
        endpoint_view row { .endpoint = name,
            .key = wireKeyOf(name),
            .domain = description.domain,
            .slots = description.slots,
            .incarnation = description.incarnation };
        const auto before = std::find_if(old.begin(), old.end(),
            [&wanted = row.endpoint](const endpoint_view& known) { return known.endpoint == wanted; });
        // Calls at an earlier incarnation put no load on this one.
        if (before != old.end() && before->incarnation == description.incarnation)
            row = std::move(*before);
        row.slots = description.slots;
        row.isUsable = !description.isDraining;
        names.insert(name);
        m_endpoints.push_back(std::move(row));
    }
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
        if (const auto* report = m_fleet.peerRate(row.key))
            m_speeds.recordReport(row, indexOf(row), report->rate, report->number, report->at);
    }
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
    return std::any_of(
        m_endpoints.begin(), m_endpoints.end(), [&](const endpoint_view& row) { return mayUse(row, now); });
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
    auto* row = find(choice.endpoint);
    if (!row)
        return choice.prefillTokens;
    ++row->running;
    row->prefillTokens += choice.prefillTokens;
    return row->totalPrefillTokens();
}

void dispatch_pool::recordPrefilled(const endpoint_id& endpoint, std::int64_t incarnation, token_count prefilled)
{
    if (auto* row = find(endpoint, incarnation))
        row->prefillTokens -= prefilled;
}

void dispatch_pool::recordEnded(const endpoint_id& endpoint, std::int64_t incarnation, token_count pendingPrefill)
{
    if (auto* row = find(endpoint, incarnation)) {
        --row->running;
        row->prefillTokens -= pendingPrefill;
    }
}

void dispatch_pool::recordSpeed(
    const endpoint_id& endpoint, std::int64_t incarnation, const prefill_sample& sample, time_point now)
{
    if (auto* row = find(endpoint, incarnation))
        m_speeds.recordSample(*row, indexOf(*row), sample, now);
}

void dispatch_pool::recordLoad(const endpoint_load& load, std::int64_t incarnation, time_point now)
{
    auto* row = find(load.endpoint, incarnation);
    if (!row)
        return;
    row->reportedCalls = load.waiting > 0 ? load.running + load.waiting : 0;
    row->reportedSlowdown = load.slowdown.value_or(1);
    row->reportUntil = now + reportRetention;
    if (load.slowdown)
        m_speeds.recordSlowdown(*row, indexOf(*row), *load.slowdown, now);
}

void dispatch_pool::recordOutcome(const attempt_ended& ended, time_point now)
{
    const auto problem = ended.problem ? ended.problem->kind : failure_kind::None;
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

endpoint_view* dispatch_pool::find(const endpoint_id& endpoint)
{
    const auto found = std::find_if(
        m_endpoints.begin(), m_endpoints.end(), [&](const endpoint_view& row) { return row.endpoint == endpoint; });
    return found == m_endpoints.end() ? nullptr : &*found;
}

endpoint_view* dispatch_pool::find(const endpoint_id& endpoint, std::int64_t incarnation)
{
    auto* row = find(endpoint);
    return row && row->incarnation == incarnation ? row : nullptr;
}

bool dispatch_pool::mayUse(const endpoint_view& row, time_point now) const
{
    return mayUseWhenNotQuiet(row, now) && !isQuiet(row.endpoint, now);
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
