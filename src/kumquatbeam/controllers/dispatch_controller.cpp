#include "kumquatbeam/controllers/dispatch_controller.hpp"

#include "kumquatbeam/decisions/admission/wait_terms.hpp"
#include "kumquatbeam/decisions/placement/least_running.hpp"
#include "kumquatbeam/decisions/placement/prompt_homes.hpp"
#include "kumquatbeam/filters/request_filter.hpp"
#include "kumquatbeam/types/invariant.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Attempts at one call, those included of which no byte went out.
    constexpr int madeLimit = 5;

    /// Time for which an endpoint is not used after another one has answered at its address. The directory shows by
    /// then which endpoint has it.
    constexpr std::chrono::seconds replacedFor { 3 };

    /// Part of the time left that the first attempt at a call gets where another one may follow.
    constexpr double firstAttemptPart = 0.5;

    /// Lowest status by which an endpoint reports a failure of its own.
    constexpr int lowestFailure = 500;

    /// Counted tokens that the engines of a pool produce for each token that they can read: the pool's rate counts
    /// generated tokens and shared beginnings, which cost no reading.
    constexpr double readingFactor = 2.0;

    /// Reading rate of an engine, in tokens a millisecond, where the pool's rate is unknown.
    constexpr double defaultReadingRate = 50;

    std::chrono::milliseconds since(time_point from, time_point now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
    }

} // namespace

dispatch_controller::dispatch_controller(const route_bounds& bounds, const failure_domain_id& self,
    const route_controller& routes, const directory_controller& directory, const fleet_controller& fleet)
    : m_bounds(bounds)
    , m_domain(self)
    , m_routes(routes)
    , m_directory(directory)
    , m_fleet(fleet)
{
}

void dispatch_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const routes_changed&) { refreshPools(); },
        [&](const directory_changed&) {
            m_replaced.clear();
            refreshPools();
        },
        [&](const fleet_load_changed&) { takeLoadElsewhere(); },
        [&](const request_admitted& admitted) { admit(admitted.context, context); },
        [&](const request_refused& refused) { recordAsked(refused.context, context.now); },
        [&](const request_abandoned& abandoned) { abandon(abandoned.id, context); },
        [&](const answer_begun& begun) { begin(begun.id, context.now); },
        [&](const attempt_ended& ended) { finishAttempt(ended, context); },
    };
    std::visit(handlers, event);
}

void dispatch_controller::describe(status_report& report) const
{
    for (const auto& [id, pool] : m_pools) {
        for (const auto& row : pool.endpoints)
            report.endpoints.push_back(
                { row.endpoint, id, row.slots, slot_count { static_cast<std::int32_t>(row.running) }, !row.isUsable,
                    pool.health.isEjected(row.endpoint) });
    }
}

void dispatch_controller::addLoad(fleet_beat& beat, time_point now) const
{
    if (m_routes.current())
        beat.routes = m_routes.current()->current;
    for (const auto& [id, pool] : m_pools) {
        for (const auto& row : pool.endpoints) {
            if (row.running > 0)
                beat.endpoints.push_back({ row.key, static_cast<std::uint32_t>(row.running), row.toRead });
        }
        for (const auto& [account, rates] : pool.shares.rates(now))
            beat.accounts.push_back(
                { account, { static_cast<std::int64_t>(rates.asked) }, { static_cast<std::int64_t>(rates.admitted) } });
    }
}

std::optional<placement> dispatch_controller::choose(const request_context& request, time_point now) const
{
    return choose(request, {}, now);
}

bool dispatch_controller::hasUsable(const pool_id& pool, time_point now) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return false;
    const auto& endpoints = found->second.endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const endpoint_standing& row) {
        return row.isUsable && !isReplaced(row.endpoint, now)
            && found->second.health.admits(row.endpoint, row.running > 0, now);
    });
}

std::optional<placement> dispatch_controller::choose(
    const request_context& request, const std::set<endpoint_id>& tried, time_point now) const
{
    const auto found = m_pools.find(request.matched->pool);
    if (found == m_pools.end())
        return std::nullopt;
    const auto& pool = found->second;
    auto endpoints = pool.endpoints;
    for (auto& row : endpoints) {
        row.isUsable = row.isUsable && !tried.contains(row.endpoint) && !isReplaced(row.endpoint, now)
            && pool.health.admits(row.endpoint, row.running > 0, now);
    }
    const placement_call call { request.call->prompt, m_domain, waitLimitOf(request, pool, now) };
    return pool.strategy->place(call, endpoints, now);
}

void dispatch_controller::takeLoadElsewhere()
{
    for (auto& [id, pool] : m_pools) {
        for (auto& row : pool.endpoints) {
            const auto elsewhere = m_fleet.loadElsewhere(row.key);
            row.runningElsewhere = elsewhere.running;
            row.toReadElsewhere = elsewhere.toRead;
        }
    }
}

std::chrono::microseconds dispatch_controller::waitLimitOf(
    const request_context& request, const dispatch_pool& pool, time_point now) const
{
    const auto objective = std::chrono::duration_cast<std::chrono::microseconds>(request.matched->route->objective);
    const auto standing = request.account.value.empty() ? 0 : pool.shares.standing(request.account, now);
    std::chrono::microseconds waits { 0 };
    for (const auto& row : pool.endpoints)
        waits += pool.strategy->waitAt(row);
    const auto engines = static_cast<double>(std::max<std::size_t>(pool.endpoints.size(), 1));
    const auto pressure = static_cast<double>(waits.count()) / engines / static_cast<double>(objective.count());
    return std::chrono::duration_cast<std::chrono::microseconds>(objective * waitPartOf(standing, pressure));
}

void dispatch_controller::refreshPools()
{
    const auto& table = m_routes.current();
    if (!table)
        return;
    std::erase_if(m_pools, [&](const auto& entry) { return !table->pools.contains(entry.first); });
    for (const auto& [id, description] : table->pools) {
        auto found = m_pools.find(id);
        if (found == m_pools.end())
            found = m_pools.emplace(id, makePool(id)).first;
        refreshPool(found->second, id);
    }
}

dispatch_controller::dispatch_pool dispatch_controller::makePool(const pool_id& id) const
{
    const shared_retry_budget::terms terms { m_bounds.retryRatio, m_bounds.retryAllowance, m_bounds.retryWindow };
    dispatch_pool pool { .retries = shared_retry_budget(terms), .shares = account_shares(m_fleet.ratesElsewhere()) };
    pool.strategy = makeStrategy(id);
    return pool;
}

void dispatch_controller::refreshPool(dispatch_pool& pool, const pool_id& id)
{
    pool.shares.setCapacity(static_cast<double>(m_routes.current()->tokensPerSecond));
    const auto old = std::exchange(pool.endpoints, {});
    std::set<endpoint_id> names;
    for (const auto& [name, announced] : m_directory.endpoints()) {
        if (announced.pool != id)
            continue;
        endpoint_standing row {
            .endpoint = name, .key = wireKeyOf(name), .domain = announced.domain, .slots = announced.slots
        };
        const auto before = std::find_if(old.begin(), old.end(),
            [&wanted = row.endpoint](const endpoint_standing& known) { return known.endpoint == wanted; });
        if (before != old.end())
            row = *before;
        row.slots = announced.slots;
        row.isUsable = !announced.isDraining;
        names.insert(name);
        pool.endpoints.push_back(std::move(row));
    }
    pool.health.setEndpoints(names);
}

std::unique_ptr<placement_strategy> dispatch_controller::makeStrategy(const pool_id& id) const
{
    const auto& table = *m_routes.current();
    if (!table.pools.at(id).engine)
        return std::make_unique<least_running>();
    const auto engines = std::count_if(m_directory.endpoints().begin(), m_directory.endpoints().end(),
        [&](const auto& entry) { return entry.second.pool == id; });
    constexpr double millisecondsPerSecond = 1000;
    if (table.tokensPerSecond == 0 || engines == 0)
        return std::make_unique<prompt_homes>(defaultReadingRate);
    return std::make_unique<prompt_homes>(static_cast<double>(table.tokensPerSecond) / millisecondsPerSecond
        / static_cast<double>(engines) * readingFactor);
}

void dispatch_controller::admit(const request_context& request, decision_context& context)
{
    recordAsked(request, context.now);
    if (auto* pool = poolOf(request)) {
        pool->retries.recordRequest(context.now);
        if (!request.account.value.empty())
            pool->shares.recordAdmitted(request.account, request.call->prompt.cost(), context.now);
    }
    running_call call { .context = request, .arrivedAt = context.now, .endpoint = {}, .toRead = {} };
    auto copy = call;
    if (!start(std::move(call), context))
        end(std::move(copy), notRun({ failure_kind::NoEndpoint }), { .id = request.id }, context);
}

void dispatch_controller::recordAsked(const request_context& request, time_point now)
{
    auto* pool = request.matched ? poolOf(request) : nullptr;
    if (pool && !request.account.value.empty())
        pool->shares.recordAsked(request.account, request.call->prompt.cost(), now);
}

bool dispatch_controller::start(running_call call, decision_context& context)
{
    auto* pool = poolOf(call.context);
    if (!pool)
        return false;
    // The filter has just found a place for the first attempt.
    const auto choice
        = call.before.made == 0 ? call.context.place : choose(call.context, call.before.tried, context.now);
    if (!choice)
        return false;
    const auto& request = call.context;
    const auto& announced = *m_directory.find(choice->endpoint);
    auto& row = *std::find_if(pool->endpoints.begin(), pool->endpoints.end(),
        [&](const endpoint_standing& known) { return known.endpoint == choice->endpoint; });
    ++row.running;
    row.toRead += choice->toRead;
    pool->strategy->recordPlaced(request.call->prompt, choice->endpoint, context.now);

    const auto kind = request.matched->route->kind;
    start_attempt attempt { .id = request.id,
        .to = { announced.id, announced.address, announced.port, announced.life },
        .call = request.call,
        .account = request.account,
        .sendBefore = std::min(request.sendBefore, request.deadline),
        .deadline = request.deadline,
        .path = isStream(kind) ? answer_path::Events : answer_path::Kept,
        .needsFreshConnection = !mayRunAgain(kind),
        .resumeAfter = call.before.lastEvent };
    const bool mayFollow = kind == call_kind::Idempotent && call.before.sent + 1 < request.matched->route->attemptLimit;
    if (mayFollow)
        attempt.deadline = context.now
            + std::chrono::duration_cast<clock::duration>((request.deadline - context.now) * firstAttemptPart);
    ++call.before.made;
    context.log.placed({ .request = request.id,
        .label = request.call->label,
        .account = request.account,
        .pool = request.matched->pool,
        .endpoint = choice->endpoint,
        .reason = choice->reason,
        .runnerUp = choice->runnerUp,
        .runnerUpReason = choice->runnerUpReason,
        .attempt = call.before.made,
        .wait = choice->wait });
    call.endpoint = choice->endpoint;
    call.toRead = choice->toRead;
    const auto id = request.id;
    m_running.emplace(id, std::move(call));
    context.commands.send(endpoint_command { std::move(attempt) });
    return true;
}

void dispatch_controller::begin(request_id id, time_point now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.begunAt)
        return;
    auto& call = found->second;
    call.begunAt = now;
    if (auto* pool = poolOf(call.context)) {
        for (auto& row : pool->endpoints) {
            if (row.endpoint == call.endpoint)
                row.toRead -= std::exchange(call.toRead, token_count {});
        }
    }
}

void dispatch_controller::abandon(request_id id, decision_context& context)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    found->second.isAbandoned = true;
    context.commands.send(endpoint_command { cancel_attempt { id } });
}

void dispatch_controller::finishAttempt(const attempt_ended& ended, decision_context& context)
{
    auto node = m_running.extract(ended.id);
    KUMQUATBEAM_INVARIANT(!node.empty());
    auto call = std::move(node.mapped());
    if (auto* pool = poolOf(call.context)) {
        for (auto& row : pool->endpoints) {
            if (row.endpoint != call.endpoint)
                continue;
            --row.running;
            row.toRead -= std::exchange(call.toRead, token_count {});
        }
        recordHealth(*pool, ended, context.now);
    }
    settle(std::move(call), ended, context);
}

bool dispatch_controller::isReplaced(const endpoint_id& endpoint, time_point now) const
{
    const auto replaced = m_replaced.find(endpoint);
    return replaced != m_replaced.end() && now < replaced->second;
}

void dispatch_controller::recordHealth(dispatch_pool& pool, const attempt_ended& ended, time_point now)
{
    const auto problem = ended.problem ? ended.problem->kind : failure_kind::None;
    if (problem == failure_kind::EndpointReplaced) {
        m_replaced[ended.endpoint] = now + replacedFor;
        return;
    }
    if (ended.outcome == attempt_outcome::Completed)
        pool.health.recordAnswer(ended.endpoint, now);
    else if (problem == failure_kind::EndpointUnreachable)
        pool.health.recordUnreachable(ended.endpoint, now);
    else if (problem == failure_kind::EndpointBroke || problem == failure_kind::EndpointTimedOut)
        pool.health.recordFailure(ended.endpoint, now);
}

void dispatch_controller::settle(running_call call, const attempt_ended& ended, decision_context& context)
{
    const auto facts = factsOf(call, ended, context.now);
    auto verdict = verdictAfter(facts);
    auto problem = ended.problem.value_or(failure { failure_kind::EndpointBroke, ended.endpoint.value });
    const bool isRepeat = verdict == attempt_verdict::TryAgain || verdict == attempt_verdict::Resume;
    if (isRepeat && !payForRepeat(call, ended, context.now))
        verdict = endingAfter(facts);
    switch (verdict) {
    case attempt_verdict::Answer:
        answer(std::move(call), ended, context);
        break;
    case attempt_verdict::TryAgain:
    case attempt_verdict::Resume:
        tryAgain(std::move(call), ended, context);
        break;
    case attempt_verdict::EndNotRun:
        end(std::move(call), notRun(std::move(problem)), ended, context);
        break;
    case attempt_verdict::EndUnknown:
        end(std::move(call), unknownOutcome(std::move(problem)), ended, context);
        break;
    }
}

attempt_facts dispatch_controller::factsOf(const running_call& call, const attempt_ended& ended, time_point now) const
{
    const auto kind = call.context.matched->route->kind;
    const bool wasSent = ended.outcome != attempt_outcome::NotSent;
    return {
        .isComplete = ended.outcome == attempt_outcome::Completed,
        .isFailure = ended.status.value >= lowestFailure,
        .isProvenNotRun = !wasSent || ended.outcome == attempt_outcome::Refused,
        .mayHaveRunBefore = call.before.mayHaveRun,
        .isRepeatable = mayRunAgain(kind),
        .canResume = kind == call_kind::ResumableStream && ended.lastEvent.has_value(),
        .relayed = call.before.relayed + ended.relayed,
        .attempts = call.before.sent + (wasSent ? 1 : 0),
        .attemptLimit = call.context.matched->route->attemptLimit,
        .isWanted = !call.isAbandoned && call.context.deadline > now && call.before.made < madeLimit,
    };
}

bool dispatch_controller::payForRepeat(const running_call& call, const attempt_ended& ended, time_point now)
{
    // An attempt of which no byte went out was no arrival at an endpoint.
    if (ended.outcome == attempt_outcome::NotSent && call.before.sent == 0)
        return true;
    auto* pool = poolOf(call.context);
    return pool && pool->retries.tryWithdraw(m_fleet.routersAtMost(), now);
}

void dispatch_controller::tryAgain(running_call call, const attempt_ended& ended, decision_context& context)
{
    const auto facts = factsOf(call, ended, context.now);
    auto& history = call.before;
    history.sent = facts.attempts;
    history.mayHaveRun = facts.mayHaveRunBefore || !facts.isProvenNotRun;
    history.relayed = facts.relayed;
    history.lastEvent = ended.lastEvent;
    history.tried.insert(ended.endpoint);
    auto copy = call;
    if (start(std::move(call), context))
        return;
    if (ended.outcome == attempt_outcome::Completed) {
        answer(std::move(copy), ended, context);
        return;
    }
    auto problem = ended.problem.value_or(failure { failure_kind::NoEndpoint });
    const bool hasNotRun = endingAfter(facts) == attempt_verdict::EndNotRun;
    end(std::move(copy), hasNotRun ? notRun(std::move(problem)) : unknownOutcome(std::move(problem)), ended, context);
}

void dispatch_controller::answer(running_call call, const attempt_ended& ended, decision_context& context)
{
    logOutcome(call, ended, reply_kind::Answered, failure_kind::None, context);
    std::optional<call_reply> reply;
    if (!ended.isRelayed)
        reply = call_reply { .kind = reply_kind::Answered,
            .problem = {},
            .status = ended.status,
            .contentType = ended.contentType,
            .fields = ended.fields,
            .body = ended.body };
    context.raised.emplace_back(request_ended { std::move(call.context), std::move(reply) });
}

void dispatch_controller::end(
    running_call call, call_reply reply, const attempt_ended& ended, decision_context& context)
{
    logOutcome(call, ended, reply.kind, reply.problem ? reply.problem->kind : failure_kind::None, context);
    context.raised.emplace_back(request_ended { std::move(call.context), std::move(reply) });
}

void dispatch_controller::logOutcome(const running_call& call, const attempt_ended& ended, reply_kind kind,
    failure_kind problem, decision_context& context)
{
    outcome_record record { .request = call.context.id,
        .label = call.context.call->label,
        .account = call.context.account,
        .pool = call.context.matched->pool,
        .endpoint = ended.endpoint,
        .kind = kind,
        .status = ended.status,
        .problem = problem,
        .attempts = call.before.made,
        .total = since(call.arrivedAt, context.now) };
    if (call.begunAt)
        record.firstByte = since(call.arrivedAt, *call.begunAt);
    context.log.ended(record);
}

dispatch_controller::dispatch_pool* dispatch_controller::poolOf(const request_context& request)
{
    const auto found = m_pools.find(request.matched->pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

} // namespace kumquatbeam
