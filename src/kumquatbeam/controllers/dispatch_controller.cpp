#include "kumquatbeam/controllers/dispatch_controller.hpp"

#include "kumquatbeam/filters/request_filter.hpp"
#include "kumquatbeam/types/invariant.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Limit of attempts at one call, including those of which no byte was sent.
    constexpr int maxAttempts = 5;

    /// Fraction of the remaining time that an attempt at a call may use if another one may follow.
    constexpr double attemptTimeFraction = 0.5;

    /// Lowest status that counts as a failure of the endpoint.
    constexpr int lowestErrorStatus = 500;

    std::chrono::milliseconds since(time_point from, time_point now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
    }

} // namespace

dispatch_controller::dispatch_controller(const route_bounds& bounds, const failure_domain_id& ownDomain,
    const route_controller& routes, const directory_controller& directory, const fleet_controller& fleet)
    : m_bounds(bounds)
    , m_domain(ownDomain)
    , m_routes(routes)
    , m_directory(directory)
    , m_fleet(fleet)
{
}

void dispatch_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const routes_changed&) {
            refreshPools(context);
            forgetIdleRoutes(context.now);
        },
        [&](const settings_reloaded&) { refreshPools(context); },
        // The directory controller has handled the event before.
        [&](const directory_observed& observed) {
            for (auto& [id, pool] : m_pools)
                pool.applyRead(*observed.directory, observed.readStartedAt);
            refreshPools(context);
        },
        [&](const directory_changed&) {
            refreshPools(context);
            for (auto& [id, pool] : m_pools)
                pool.clearReplaced();
        },
        [&](const fleet_load_changed&) {
            for (auto& [id, pool] : m_pools)
                pool.updatePeerLoad();
        },
        [&](const request_admitted& admitted) { admit(admitted.context, context); },
        [&](const request_refused& refused) {
            recordRequested(refused.context, context.now);
            if (refused.problem == failure_kind::NoEndpoint || refused.problem == failure_kind::PoolBusy)
                recordUnplaced(refused.context, context.now);
        },
        [&](const request_abandoned& abandoned) { abandon(abandoned.id, context); },
        [&](const answer_begun& begun) { recordFirstByte(begun, context.now); },
        [&](const attempt_ended& ended) { finishAttempt(ended, context); },
        [&](const endpoint_noticed& noticed) { recordNotice(noticed, context); },
    };
    std::visit(handlers, event);
}

void dispatch_controller::describe(status_report& report) const
{
    describePools(m_pools, report);
}

void dispatch_controller::addLoad(fleet_heartbeat& heartbeat, time_point now)
{
    heartbeat.routes = m_routes.knownVersion();
    m_directory.addLeaving(heartbeat);
    addPoolLoad(m_pools, heartbeat, now);
}

void dispatch_controller::refreshPools(decision_context& context)
{
    const auto& table = m_routes.current();
    if (!table)
        return;
    std::erase_if(m_pools, [&](const auto& entry) { return !table->pools.contains(entry.first); });
    for (const auto& [id, description] : table->pools) {
        auto& pool = m_pools.try_emplace(id, description, m_fleet).first->second;
        if (m_mayLearnSpeeds)
            pool.allowSpeedLearning();
        pool.refresh(*table, m_bounds, m_directory);
        pool.updatePeerLoad();
    }
    logColdChanges(context);
}

void dispatch_controller::recordUnplaced(const request_context& request, time_point now)
{
    if (auto* pool = request.matched ? poolOf(request) : nullptr)
        pool->recordUnplaced(now);
}

void dispatch_controller::forgetIdleRoutes(time_point now)
{
    std::erase_if(m_durations, [&](const auto& entry) { return entry.second.value(now).count() == 0; });
}

void dispatch_controller::recordNotice(const endpoint_noticed& noticed, decision_context& context)
{
    if (noticed.problem)
        context.log.failed(noticed.endpoint.value, *noticed.problem);
    const auto* announced = m_directory.find(noticed.endpoint);
    const auto pool = announced ? m_pools.find(announced->pool) : m_pools.end();
    if (pool == m_pools.end())
        return;
    if (noticed.coldUntil) {
        pool->second.recordCold(noticed.endpoint, noticed.incarnation, *noticed.coldUntil);
        logColdChanges(context);
    }
    if (!noticed.quietUntil)
        return;
    if (pool->second.recordQuiet(noticed.endpoint, noticed.incarnation, *noticed.quietUntil))
        context.log.changed({ name(), "quiet",
            noticed.endpoint.value + " for-ms=" + std::to_string(since(context.now, *noticed.quietUntil).count()) });
}

call_reply dispatch_controller::notRunReply(const running_call& call, failure problem, time_point now) const
{
    auto reply = notRun(std::move(problem));
    const auto pool = m_pools.find(call.context.matched->pool);
    if (pool != m_pools.end())
        reply.retryAt = pool->second.retryAt(call.context.earliestDeadline(), now);
    return reply;
}

void dispatch_controller::admit(const request_context& request, decision_context& context)
{
    recordRequested(request, context.now);
    if (auto* pool = poolOf(request))
        pool->recordAdmitted(request, context.now);
    running_call call { .context = request, .arrivedAt = context.now, .endpoint = {}, .prefillTokens = {} };
    if (!start(call, context)) {
        recordUnplaced(request, context.now);
        auto reply = notRunReply(call, { failure_kind::NoEndpoint }, context.now);
        end(std::move(call), std::move(reply), { .id = request.id }, context);
    }
}

void dispatch_controller::recordRequested(const request_context& request, time_point now)
{
    auto* pool = request.matched ? poolOf(request) : nullptr;
    if (pool)
        pool->recordRequested(request, now);
}

bool dispatch_controller::start(running_call& call, decision_context& context)
{
    auto* pool = poolOf(call.context);
    if (!pool)
        return false;
    // The load shedding filter has chosen the endpoint of the first attempt.
    const auto choice = call.history.attempts == 0
        ? call.context.chosenPlacement
        : pool->choose(call.context, m_domain, call.history.tried, context.now);
    if (!choice)
        return false;
    const auto& request = call.context;
    const auto* announced = m_directory.find(choice->endpoint);
    if (!announced)
        return false;
    call.outstandingTokens = pool->recordPlaced(request.call->prompt, *choice, context.now);

    const auto kind = request.matched->route->kind;
    start_attempt attempt { .id = request.id,
        .to = { announced->id, announced->address, announced->port, announced->incarnation },
        .call = request.call,
        .account = request.account,
        .sendBefore = request.startLimit(),
        // A repeat ends when the caller may have stopped waiting.
        .deadline = call.history.attempts > 0 ? request.earliestDeadline() : request.deadline,
        .delivery = isStream(kind) ? answer_delivery::Events : answer_delivery::Buffered,
        .needsFreshConnection = !mayRunAgain(kind),
        .resumeAfter = call.history.lastEvent };
    const bool mayFollow
        = kind == call_kind::Idempotent && call.history.sentAttempts + 1 < request.matched->route->attemptLimit;
    const auto partEnd = context.now
        + std::chrono::duration_cast<clock::duration>((attempt.deadline - context.now) * attemptTimeFraction);
    if (mayFollow && partEnd < attempt.sendBefore)
        attempt.deadline = partEnd;
    ++call.history.attempts;
    context.log.placed({ .request = request.id,
        .callerRequestId = request.call->callerRequestId,
        .account = request.account,
        .pool = request.matched->pool,
        .endpoint = choice->endpoint,
        .reason = choice->reason,
        .runnerUp = choice->runnerUp,
        .runnerUpReason = choice->runnerUpReason,
        .attempt = call.history.attempts,
        .wait = choice->wait,
        .basis = m_routes.basis(context.now) });
    call.endpoint = choice->endpoint;
    call.incarnation = announced->incarnation;
    call.placedAt = context.now;
    call.prefillTokens = choice->prefillTokens;
    const auto id = request.id;
    m_running.emplace(id, std::move(call));
    context.commands.send(endpoint_command { std::move(attempt) });
    return true;
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
        pool->recordEnded(call.endpoint, call.incarnation, std::exchange(call.prefillTokens, token_count {}));
        // The head of a relayed answer is older than its end, and its load was recorded then. A different endpoint at
        // the address reports its own load.
        const bool isOwnReport = ended.outcome == attempt_outcome::Completed
            || (ended.problem && ended.problem->kind == failure_kind::EndpointRefused);
        if (ended.load && isOwnReport && !ended.isRelayed)
            pool->recordLoad(*ended.load, call.incarnation, context.now);
        pool->recordOutcome(ended, call.incarnation, context.now);
    }
    if (ended.problem)
        logColdChanges(context);
    applyVerdict(std::move(call), ended, context);
}

void dispatch_controller::applyVerdict(running_call call, const attempt_ended& ended, decision_context& context)
{
    renewKey(call.context);
    call.context.isBeingAnswered |= ended.relayedBytes.value > 0;
    const auto attemptState = attemptStateOf(call, ended, context.now);
    auto verdict = verdictAfter(attemptState);
    auto problem = ended.problem.value_or(failure { failure_kind::EndpointBroke, ended.endpoint.value });
    const bool isRetry = verdict == attempt_verdict::Retry || verdict == attempt_verdict::Resume;
    if (isRetry && !tryWithdrawRetry(call, ended, context.now))
        verdict = finalVerdictAfter(attemptState);
    switch (verdict) {
    case attempt_verdict::Answer:
        answer(std::move(call), ended, context);
        break;
    case attempt_verdict::Retry:
    case attempt_verdict::Resume:
        retry(std::move(call), attemptState, ended, context);
        break;
    case attempt_verdict::EndNotRun: {
        auto reply = notRunReply(call, std::move(problem), context.now);
        end(std::move(call), std::move(reply), ended, context);
        break;
    }
    case attempt_verdict::EndUnknown:
        end(std::move(call), unknownOutcome(std::move(problem)), ended, context);
        break;
    }
}

void dispatch_controller::renewKey(request_context& request) const
{
    if (request.account.value.empty())
        return;
    const auto* account = m_routes.current()->accountOf(request.call->credential);
    request.sendBefore = account && *account == request.account ? m_routes.keysExpireAt() : time_point::min();
}

attempt_state dispatch_controller::attemptStateOf(
    const running_call& call, const attempt_ended& ended, time_point now) const
{
    const auto kind = call.context.matched->route->kind;
    const bool wasSent = ended.outcome != attempt_outcome::NotSent;
    // An answer that was not relayed is none to a caller who has a part of a stream.
    const bool isAnswer = ended.isRelayed || call.history.relayedBytes.value == 0;
    return {
        .isComplete = ended.outcome == attempt_outcome::Completed && isAnswer,
        .isEndpointFailure = ended.status.value >= lowestErrorStatus,
        .isProvenNotRun = !wasSent || ended.outcome == attempt_outcome::Refused,
        .mayHaveRunBefore = call.history.mayHaveRun,
        .isRepeatable = mayRunAgain(kind),
        .canResume = kind == call_kind::ResumableStream && ended.lastEvent.has_value(),
        .relayedBytes = call.history.relayedBytes + ended.relayedBytes,
        .attempts = call.history.sentAttempts + (wasSent ? 1 : 0),
        .attemptLimit = call.context.matched->route->attemptLimit,
        .isStillAwaited = !call.isAbandoned && call.context.startLimit() > now && call.history.attempts < maxAttempts,
    };
}

bool dispatch_controller::tryWithdrawRetry(const running_call& call, const attempt_ended& ended, time_point now)
{
    // As long as no byte of the call was sent, it has put no load on an endpoint, so the retry is free.
    if (ended.outcome == attempt_outcome::NotSent && call.history.sentAttempts == 0)
        return true;
    auto* pool = poolOf(call.context);
    return pool && pool->tryWithdrawRetry(now);
}

void dispatch_controller::retry(
    running_call call, const attempt_state& attemptState, const attempt_ended& ended, decision_context& context)
{
    auto& history = call.history;
    history.sentAttempts = attemptState.attempts;
    history.mayHaveRun = attemptState.mayHaveRunBefore || !attemptState.isProvenNotRun;
    history.relayedBytes = attemptState.relayedBytes;
    history.lastEvent = ended.lastEvent;
    history.tried.insert(ended.endpoint);
    if (start(call, context))
        return;
    recordUnplaced(call.context, context.now);
    if (attemptState.isComplete) {
        answer(std::move(call), ended, context);
        return;
    }
    auto problem = ended.problem.value_or(failure { failure_kind::NoEndpoint });
    const bool hasNotRun = finalVerdictAfter(attemptState) == attempt_verdict::EndNotRun;
    auto reply = hasNotRun ? notRunReply(call, std::move(problem), context.now) : unknownOutcome(std::move(problem));
    end(std::move(call), std::move(reply), ended, context);
}

void dispatch_controller::answer(running_call call, const attempt_ended& ended, decision_context& context)
{
    logOutcome(call, ended, reply_kind::Answered, failure_kind::None, context);
    m_durations[call.context.matched->route->id].record(since(call.arrivedAt, context.now), context.now);
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
        .callerRequestId = call.context.call->callerRequestId,
        .account = call.context.account,
        .pool = call.context.matched->pool,
        .endpoint = ended.endpoint,
        .kind = kind,
        .status = ended.status,
        .problem = problem,
        .attempts = call.history.attempts,
        .total = since(call.arrivedAt, context.now),
        .left = since(context.now, call.context.deadline) };
    if (const auto& stated = call.context.call->deadline)
        record.age = since(call.context.call->sendBefore, *stated);
    if (call.firstByteAt)
        record.firstByte = since(call.arrivedAt, *call.firstByteAt);
    context.log.ended(record);
}

dispatch_pool* dispatch_controller::poolOf(const request_context& request)
{
    const auto found = m_pools.find(request.matched->pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

} // namespace kumquatbeam
