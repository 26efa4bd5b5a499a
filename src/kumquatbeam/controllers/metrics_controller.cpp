#include "kumquatbeam/controllers/metrics_controller.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    /// Refusals caused by an account that sends too many requests.
    constexpr std::array floodFailures { failure_kind::QueueFull, failure_kind::TicketsExhausted };

} // namespace

metrics_controller::metrics_controller(const configuration_controller& configuration)
    : m_configuration(configuration)
{
}

void metrics_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const request_admitted& admitted) { recordAdmitted(admitted.context, context.now); },
        [&](const request_ended& ended) { recordEnded(ended); },
        [&](const attempt_ended& ended) { recordAttemptEnded(ended); },
        [&](const answer_begun& begun) { recordFirstByte(begun.id, context.now); },
        [&](const load_observed& observed) {
            if (observed.load)
                m_loads.insert_or_assign(observed.endpoint, *observed.load);
            else
                m_loads.erase(observed.endpoint);
        },
    };
    std::visit(handlers, event);
}

void metrics_controller::describe(status_report& report) const
{
    auto& metrics = report.metrics;
    for (const auto& [outcome, requests] : m_outcomes)
        metrics.outcomes.push_back({ outcome.first, outcome.second, requests });
    for (const auto& [failure, times] : m_failures)
        metrics.failures.push_back({ failure.first, failure.second, times });
    for (const auto& [account, refused] : m_floods)
        metrics.floods.push_back({ account, refused });
    metrics.pools = describePools();
    metrics.queueWait = m_queueWait.report();
    metrics.attempt = m_attempt.report();
    metrics.firstByte = m_firstByte.report();
}

void metrics_controller::observe(const call_reply& reply)
{
    count(reply.kind, reply.problem ? reply.problem->kind : failure_kind::None);
}

void metrics_controller::observe(const start_attempt& attempt, time_point now)
{
    const auto found = m_requests.find(attempt.id);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    auto& pool = m_pools[request.pool];
    ++pool.running;
    if (!std::exchange(request.isQueued, false))
        return;
    pool.fairness.dequeue(request.account);
    m_queueWait.observe(now - request.admittedAt);
}

void metrics_controller::observe(const refusal_record& record)
{
    if (std::find(floodFailures.begin(), floodFailures.end(), record.problem.kind) != floodFailures.end())
        ++m_floods[record.account];
}

void metrics_controller::observe(std::string_view part, const failure& problem)
{
    ++m_failures[{ std::string(part), problem.kind }];
}

void metrics_controller::recordAdmitted(const request_context& request, time_point now)
{
    const bool isQueued = request.disposition == request_disposition::Queue;
    m_requests.insert_or_assign(request.id, request_progress { request.account, request.call->pool, now, isQueued });
    const auto document = m_configuration.current();
    if (!isQueued || !document)
        return;
    const auto account = document->accounts.find(request.account);
    if (account != document->accounts.end())
        m_pools[request.call->pool].fairness.enqueue(request.account, account->second.share);
}

void metrics_controller::recordEnded(const request_ended& ended)
{
    if (ended.reply)
        observe(*ended.reply);
    else
        count(reply_kind::Answered, failure_kind::None);
    const auto node = m_requests.extract(ended.context.id);
    if (!node.empty() && node.mapped().isQueued)
        m_pools[node.mapped().pool].fairness.dequeue(node.mapped().account);
}

void metrics_controller::recordAttemptEnded(const attempt_ended& ended)
{
    m_attempt.observe(std::chrono::microseconds(ended.cost.value));
    const auto request = m_requests.find(ended.id);
    if (request == m_requests.end())
        return;
    auto& pool = m_pools[request->second.pool];
    --pool.running;
    pool.fairness.recordService(request->second.account, ended.cost);
}

void metrics_controller::recordFirstByte(request_id id, time_point now)
{
    const auto request = m_requests.find(id);
    if (request != m_requests.end() && !std::exchange(request->second.hasFirstByte, true))
        m_firstByte.observe(now - request->second.admittedAt);
}

void metrics_controller::count(reply_kind kind, failure_kind failure)
{
    ++m_outcomes[{ kind, failure }];
}

std::vector<pool_metrics> metrics_controller::describePools() const
{
    const auto document = m_configuration.current();
    if (!document)
        return {};
    std::map<pool_id, pool_metrics> pools;
    for (const auto& [id, pool] : document->pools) {
        auto& row = pools[id];
        row.pool = id;
        const auto meter = m_pools.find(id);
        if (meter == m_pools.end())
            continue;
        row.running = meter->second.running;
        row.backloggedAccounts = meter->second.fairness.backloggedAccounts();
        row.fairnessGap = meter->second.fairness.gap();
        row.largestFairnessGap = meter->second.fairness.largestGap();
    }
    for (const auto& [id, endpoint] : document->endpoints) {
        auto& row = pools[endpoint.pool];
        row.slots += endpoint.slots;
        const auto load = m_loads.find(id);
        if (load == m_loads.end())
            continue;
        row.reportedRunning += load->second.running;
        row.reportedWaiting += load->second.waiting;
    }
    std::vector<pool_metrics> rows;
    rows.reserve(pools.size());
    for (auto& [id, row] : pools)
        rows.push_back(std::move(row));
    return rows;
}

} // namespace kumquatbeam
