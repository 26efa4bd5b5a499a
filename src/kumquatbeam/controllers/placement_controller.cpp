#include "kumquatbeam/controllers/placement_controller.hpp"

#include "kumquatbeam/filters/request_filter.hpp"
#include "kumquatbeam/types/invariant.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

placement_controller::placement_controller(const router_settings& settings,
    const configuration_controller& configuration, const membership_controller& membership)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_membership(membership)
{
}

void placement_controller::handle(const decision_event& event, decision_context& context)
{
    adoptDocument(context);
    const event_handlers handlers {
        [&](const request_admitted& admitted) {
            if (admitted.context.disposition == request_disposition::Queue)
                enqueue(admitted.context, context);
        },
        [&](const request_abandoned& abandoned) { abandon(abandoned.id, context); },
        [&](const attempt_ended& ended) { finishAttempt(ended, context); },
        [&](const peer_received& received) { receive(received, context); },
        [&](const membership_changed&) { refreshViews(); },
        [&](const load_observed& observed) { observe(observed, context.now); },
    };
    std::visit(handlers, event);
    for (auto& [id, pool] : m_pools)
        placeWaiting(pool, context);
}

time_point placement_controller::nextDeadline() const
{
    time_point earliest = never;
    for (const auto& [id, pool] : m_pools)
        earliest = std::min(earliest, pool.nextDeadline());
    return earliest;
}

void placement_controller::onDeadline(decision_context& context)
{
    adoptDocument(context);
    for (auto& [id, pool] : m_pools) {
        expire(pool, context);
        sendStrategyMessages(pool, context);
        placeWaiting(pool, context);
    }
}

void placement_controller::describe(status_report& report) const
{
    report.strategy = m_settings.strategy;
    for (const auto& [id, pool] : m_pools) {
        for (const auto& row : pool.view.accounts)
            report.accounts.push_back({ id, row.account, row.share, row.waiting, row.running, row.served });
        report.pools.push_back({ id, pool.view.meanCost, pool.strategy->describe(pool.view) });
        for (const auto& row : pool.view.endpoints)
            report.endpoints.push_back({ row.endpoint, id, row.slots, row.running, m_membership.isLeaving(row.endpoint),
                pool.gate.isEjected(row.endpoint) });
    }
}

bool placement_controller::isBelowQueueLimit(const client_account_id& account, const pool_id& pool) const
{
    const auto state = m_pools.find(pool);
    if (state == m_pools.end())
        return false;
    const auto queue = state->second.queues.find(account);
    const auto waiting = queue == state->second.queues.end() ? 0 : static_cast<std::int64_t>(queue->second.size());
    return waiting < m_configuration.current()->accounts.at(account).queueLimit;
}

time_point placement_controller::expectedStart(
    const client_account_id& account, const pool_id& pool, urgency urgencyClass, time_point now) const
{
    const auto state = m_pools.find(pool);
    if (state == m_pools.end())
        return now;
    return state->second.expectedStart(account, urgencyClass, now);
}

bool placement_controller::canMeetDeadline(
    time_point deadline, const pool_id& pool, time_point startAt, time_point now) const
{
    const auto state = m_pools.find(pool);
    return state == m_pools.end() || startAt + state->second.serviceTime.lowerBound(now) <= deadline;
}

void placement_controller::enqueue(const request_context& request, decision_context& context)
{
    auto& pool = m_pools.at(request.call->pool);
    auto* account = findAccount(pool.view, request.account);
    if (!account) {
        end(request, notRun({ failure_kind::UnknownAccount, request.account.value }), context);
        return;
    }
    if (account->waiting == 0)
        pool.queueWaits[request.account].recordIdle();
    pool.queues[request.account].push(request);
    ++account->waiting;
}

void placement_controller::abandon(request_id id, decision_context& context)
{
    if (const auto running = m_running.find(id); running != m_running.end()) {
        running->second.isAbandoned = true;
        context.commands.send(endpoint_command { cancel_attempt { id } });
        return;
    }
    for (auto& [poolId, pool] : m_pools) {
        for (auto& [accountId, queue] : pool.queues) {
            auto removed = queue.remove(id);
            if (!removed)
                continue;
            --findAccount(pool.view, accountId)->waiting;
            endUnplaced(std::move(*removed), { failure_kind::CallerGone }, context);
            return;
        }
    }
}

void placement_controller::finishAttempt(const attempt_ended& ended, decision_context& context)
{
    auto node = m_running.extract(ended.id);
    KUMQUATBEAM_INVARIANT(!node.empty());
    auto call = std::move(node.mapped());
    const auto state = m_pools.find(call.context.call->pool);
    if (state != m_pools.end()) {
        if (auto* account = findAccount(state->second.view, call.context.account)) {
            --account->running;
            account->served += ended.cost;
        }
        state->second.recordCost(ended.cost);
        if (auto* endpoint = findEndpoint(state->second.view, call.endpoint))
            endpoint->running -= slot_count { 1 };
        if (ended.outcome == attempt_outcome::Completed)
            state->second.recordAnswer(ended.endpoint, ended.cost, context.now);
        else if (ended.problem)
            state->second.recordFailure(ended.endpoint, ended.problem->kind, context.now);
    }
    applyVerdict(std::move(call), ended, context);
}

void placement_controller::applyVerdict(running_call call, const attempt_ended& ended, decision_context& context)
{
    call.context.isBeingAnswered |= ended.relayedBytes.value > 0;
    const auto attemptState = attemptStateOf(call, ended, context.now);
    auto verdict = verdictAfter(attemptState);
    auto problem = ended.problem.value_or(failure { failure_kind::EndpointBroke, ended.endpoint.value });
    const auto pool = m_pools.find(call.context.call->pool);
    const bool isRetry = verdict == attempt_verdict::Retry || verdict == attempt_verdict::Resume;
    if (isRetry && (pool == m_pools.end() || !pool->second.retryBudget.tryWithdraw())) {
        verdict = finalVerdictAfter(attemptState);
        problem = { failure_kind::RetriesExhausted, ended.endpoint.value };
    }
    switch (verdict) {
    case attempt_verdict::Answer:
        answer(std::move(call), ended, context);
        break;
    case attempt_verdict::Retry:
    case attempt_verdict::Resume:
        retry(std::move(call), attemptState, context);
        break;
    case attempt_verdict::EndNotRun:
        end(std::move(call.context), notRun(std::move(problem)), context);
        break;
    case attempt_verdict::EndUnknown:
        end(std::move(call.context), unknownOutcome(std::move(problem)), context);
        break;
    }
}

attempt_state placement_controller::attemptStateOf(
    const running_call& call, const attempt_ended& ended, time_point now) const
{
    const auto document = m_configuration.current();
    const auto pool = document->pools.find(call.context.call->pool);
    return {
        .isComplete = ended.outcome == attempt_outcome::Completed,
        .isProvenNotRun = ended.outcome == attempt_outcome::NotSent || ended.outcome == attempt_outcome::Refused,
        .mayHaveRunBefore = call.history.mayHaveRun,
        .isRepeatable = call.context.isRepeatable,
        .canResume = pool != document->pools.end() && pool->second.canResume,
        .relayedBytes = ended.relayedBytes,
        .attempts = call.history.attempts + 1,
        .isStillAwaited = !call.isAbandoned && call.context.startLimit() > now,
    };
}

void placement_controller::answer(running_call call, const attempt_ended& ended, decision_context& context)
{
    std::optional<call_reply> reply;
    if (!ended.isRelayed)
        reply = call_reply { .kind = reply_kind::Answered,
            .problem = {},
            .status = ended.status,
            .contentType = ended.contentType,
            .body = ended.body };
    context.raised.emplace_back(request_ended { std::move(call.context), std::move(reply) });
}

void placement_controller::retry(running_call call, const attempt_state& attemptState, decision_context& context)
{
    auto& pool = m_pools.at(call.context.call->pool);
    auto* account = findAccount(pool.view, call.context.account);
    if (!account) {
        const auto problem = failure { failure_kind::UnknownAccount, call.context.account.value };
        const bool hasNotRun = finalVerdictAfter(attemptState) == attempt_verdict::EndNotRun;
        end(std::move(call.context), hasNotRun ? notRun(problem) : unknownOutcome(problem), context);
        return;
    }
    m_histories[call.context.id] = { attemptState.attempts,
        attemptState.mayHaveRunBefore || !attemptState.isProvenNotRun, attemptState.relayedBytes };
    pool.queues[call.context.account].pushFront(std::move(call.context));
    ++account->waiting;
}

void placement_controller::observe(const load_observed& observed, time_point now)
{
    const auto waiting
        = observed.load ? std::optional<std::int64_t>(observed.load->waiting) : std::optional<std::int64_t>();
    for (auto& [id, pool] : m_pools) {
        if (const auto* endpoint = findEndpoint(pool.view, observed.endpoint))
            pool.gate.recordProbe(*endpoint, waiting, now);
    }
}

void placement_controller::refreshUsable(pool_state& pool, time_point now) const
{
    for (auto& row : pool.view.endpoints)
        row.isUsable = !m_membership.isLeaving(row.endpoint) && pool.gate.admits(row, now);
}

void placement_controller::receive(const peer_received& received, decision_context& context)
{
    const auto key = poolKeyOf(received.message);
    if (!key)
        return;
    for (auto& [id, pool] : m_pools) {
        if (wireKeyOf(id) == *key)
            pool.strategy->receive(received.from, received.message, pool.view, context.now);
    }
}

void placement_controller::adoptDocument(decision_context& context)
{
    const auto document = m_configuration.current();
    if (!document || document->revisionNumber == m_appliedRevision)
        return;
    m_appliedRevision = document->revisionNumber;
    refreshViews();
    dropRemovedAccountsAndPools(context);
}

void placement_controller::refreshViews()
{
    const auto document = m_configuration.current();
    if (!document)
        return;
    for (const auto& [id, pool] : document->pools) {
        auto& state = m_pools[id];
        if (!state.strategy)
            state.strategy = makeCapacityStrategy(m_settings.strategy);
        refreshPool(state, pool);
    }
}

void placement_controller::refreshPool(pool_state& state, const endpoint_pool& pool)
{
    const auto document = m_configuration.current();
    auto old = std::exchange(state.view, {});
    auto& view = state.view;
    view.pool = pool.id;
    view.self = m_settings.self;
    view.domain = m_settings.domain;
    view.document = document->revisionNumber;
    view.exchangePeriod = pool.exchangePeriod;
    view.leaseDuration = pool.leaseDuration;
    view.meanCost = old.meanCost;
    for (const auto& [id, account] : document->accounts) {
        account_backlog row { .account = id, .share = account.share };
        if (const auto* before = findAccount(old, id)) {
            row = *before;
            row.share = account.share;
        }
        view.accounts.push_back(std::move(row));
    }
    for (const auto& [id, endpoint] : document->endpoints) {
        if (endpoint.pool != pool.id)
            continue;
        endpoint_capacity row { .endpoint = id, .domain = endpoint.domain, .slots = endpoint.slots };
        if (const auto* before = findEndpoint(old, id))
            row.running = before->running;
        view.endpoints.push_back(std::move(row));
    }
    state.gate.setEndpoints(view);
    view.routers = m_membership.routers();
}

void placement_controller::dropRemovedAccountsAndPools(decision_context& context)
{
    const auto document = m_configuration.current();
    if (!document)
        return;
    for (auto& [id, pool] : m_pools) {
        for (auto& [account, queue] : pool.queues) {
            if (document->accounts.contains(account) && document->pools.contains(id))
                continue;
            while (auto request = queue.pop())
                endUnplaced(std::move(*request), { failure_kind::UnknownAccount, account.value }, context);
        }
        const auto isGone = [&](const auto& entry) { return !document->accounts.contains(entry.first); };
        std::erase_if(pool.queues, isGone);
        std::erase_if(pool.queueWaits, isGone);
    }
    std::erase_if(m_pools, [&](const auto& entry) { return !document->pools.contains(entry.first); });
}

void placement_controller::placeWaiting(pool_state& pool, decision_context& context)
{
    refreshUsable(pool, context.now);
    while (const auto choice = pool.strategy->choose(pool.view, context.now)) {
        start(pool, *choice, context);
        refreshUsable(pool, context.now);
    }
    pool.refreshDeadlines(context.now);
}

void placement_controller::start(pool_state& pool, const placement_choice& choice, decision_context& context)
{
    auto request = pool.queues[choice.account].pop();
    KUMQUATBEAM_INVARIANT(request.has_value());
    auto* account = findAccount(pool.view, choice.account);
    auto* endpoint = findEndpoint(pool.view, choice.endpoint);
    KUMQUATBEAM_INVARIANT(account && endpoint && endpoint->isUsable && endpoint->running < endpoint->slots);
    --account->waiting;
    ++account->running;
    endpoint->running += slot_count { 1 };
    pool.queueWaits[choice.account].recordStart(account->waiting, context.now);

    context.log.placed({ .request = request->id,
        .account = choice.account,
        .pool = pool.view.pool,
        .endpoint = choice.endpoint,
        .reason = choice.reason,
        .runnerUp = choice.runnerUp,
        .runnerUpReason = choice.runnerUpReason });
    const auto& description = m_configuration.current()->endpoints.at(choice.endpoint);
    start_attempt attempt {
        .id = request->id,
        .to = { choice.endpoint, description.address, description.port },
        .call = request->call,
        .sendBefore = std::min(choice.sendBefore, request->startLimit()),
        .deadline = request->deadline,
        .delivery = request->isRepeatable ? answer_delivery::Chunks : answer_delivery::Buffered,
    };
    running_call call { std::move(*request), choice.endpoint };
    if (const auto history = m_histories.extract(attempt.id))
        call.history = history.mapped();
    attempt.resumeAt = call.history.relayedBytes;
    m_running.emplace(attempt.id, std::move(call));
    context.commands.send(endpoint_command { std::move(attempt) });
}

void placement_controller::expire(pool_state& pool, decision_context& context)
{
    for (auto& [id, queue] : pool.queues) {
        for (auto& request : pool.removeInfeasible(queue, context.now)) {
            --findAccount(pool.view, id)->waiting;
            endUnplaced(std::move(request), { failure_kind::DeadlinePassed }, context);
        }
    }
}

void placement_controller::sendStrategyMessages(pool_state& pool, decision_context& context)
{
    if (context.now < pool.strategy->nextExchange())
        return;
    for (auto& message : pool.strategy->exchange(pool.view, context.now))
        context.commands.send(peer_command { send_to_peer { std::move(message.to), std::move(message.message) } });
}

void placement_controller::endUnplaced(request_context request, failure problem, decision_context& context)
{
    const auto history = m_histories.find(request.id);
    const bool mayHaveRun = history != m_histories.end() && history->second.mayHaveRun;
    end(std::move(request), mayHaveRun ? unknownOutcome(std::move(problem)) : notRun(std::move(problem)), context);
}

void placement_controller::end(request_context request, call_reply reply, decision_context& context)
{
    m_histories.erase(request.id);
    if (reply.problem)
        context.log.refused({ .request = request.id,
            .account = request.account,
            .pool = request.call->pool,
            .decidedBy = name(),
            .problem = *reply.problem });
    context.raised.emplace_back(request_ended { std::move(request), std::move(reply) });
}

} // namespace kumquatbeam
