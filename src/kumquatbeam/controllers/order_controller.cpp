#include "kumquatbeam/controllers/order_controller.hpp"

#include "kumquatbeam/filters/request_filter.hpp"
#include "kumquatbeam/types/invariant.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Time after its deadline for which a request still waits for the order's reply. The reply is due at the same
    /// deadline and is more specific than "unknown".
    constexpr std::chrono::milliseconds replyGracePeriod { 150 };

    /// Copies the context of a waiting request without the body and the credential, which are no longer needed.
    request_context withoutBody(const request_context& context)
    {
        auto call = std::make_shared<call_request>();
        call->pool = context.call->pool;
        call->effect = context.call->effect;
        call->target = context.call->target;
        call->ticket = context.call->ticket;
        auto waiting = context;
        waiting.call = std::move(call);
        return waiting;
    }

    std::uint64_t drawNonce(std::random_device& source)
    {
        constexpr unsigned halfBits = 32;
        return (std::uint64_t { source() } << halfBits) | source();
    }

} // namespace

order_controller::order_controller(entry_vm_id self, incarnation_id incarnation,
    const configuration_controller& configuration, internal_request_ids& ids)
    : m_configuration(configuration)
    , m_ids(ids)
    , m_registry(std::move(self), incarnation)
{
}

void order_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const request_admitted& admitted) { admit(admitted.context, context); },
        [&](const request_ended& ended) {
            if (ended.context.order)
                endOrder(ended, context);
        },
        [&](const request_abandoned& abandoned) { detach(abandoned.id, std::nullopt, context); },
        [&](const peer_received& received) { receive(received, context); },
        [&](const peer_lost& lost) {
            failForwards(
                lost.peer, [](const order_ticket&) { return true; }, failure_kind::OwnerUnreachable, context);
        },
        [&](const peer_connected& connected) {
            const auto incarnation = connected.hello.incarnation;
            failForwards(
                connected.hello.from,
                [incarnation](const order_ticket& ticket) { return ticket.incarnation != incarnation; },
                failure_kind::TicketUnknown, context);
        },
    };
    std::visit(handlers, event);
}

time_point order_controller::nextDeadline() const
{
    const auto nextReplyDeadline = m_replyDeadlines.empty() ? never : m_replyDeadlines.begin()->first;
    return std::min(nextReplyDeadline, m_registry.nextDeadline());
}

void order_controller::onDeadline(decision_context& context)
{
    while (!m_replyDeadlines.empty() && m_replyDeadlines.begin()->first <= context.now)
        detach(m_replyDeadlines.begin()->second, unknownOutcome({ failure_kind::DeadlinePassed, "order" }), context);
    m_registry.expire(context.now);
}

bool order_controller::canIssueTicket(const client_account_id& account) const
{
    return m_registry.canIssue(account, m_configuration.current()->accounts.at(account).ticketLimit);
}

void order_controller::reconcileRefusal(const request_context& request, call_reply& reply, time_point now)
{
    const auto& call = *request.call;
    if (reply.kind != reply_kind::NotRun || call.effect != call_effect::Write || call.isTicketRequest || !call.ticket)
        return;
    const bool isProved = m_registry.isOwnerOf(*call.ticket)
        && m_registry.cancel(*call.ticket, request.account, fingerprintOf(call), reply, now);
    if (!isProved)
        reply.kind = reply_kind::Unknown;
}

void order_controller::admit(const request_context& request, decision_context& context)
{
    switch (request.disposition) {
    case request_disposition::Queue:
        KUMQUATBEAM_INVARIANT(request.isRepeatable || request.order.has_value());
        break;
    case request_disposition::IssueTicket:
        issue(request, context);
        break;
    case request_disposition::PlaceOrder:
        place(request, context);
        break;
    case request_disposition::JoinOrder:
        join(request);
        break;
    case request_disposition::ForwardOrder:
        forward(request, context);
        break;
    }
}

void order_controller::issue(const request_context& request, decision_context& context)
{
    const auto limit = m_configuration.current()->accounts.at(request.account).ticketLimit;
    call_reply reply { .kind = reply_kind::Answered };
    reply.ticket = m_registry.issue(request.account, limit, drawNonce(m_nonceSource), context.now);
    context.raised.emplace_back(request_ended { request, std::move(reply) });
}

void order_controller::place(const request_context& request, decision_context& context)
{
    m_registry.start(*request.call->ticket, fingerprintOf(*request.call));
    join(request);
    auto order = request;
    order.id = m_ids.next();
    order.forwardedBy.reset();
    order.order = request.call->ticket;
    order.disposition = request_disposition::Queue;
    context.raised.emplace_back(request_admitted { std::move(order) });
}

void order_controller::join(const request_context& request)
{
    m_registry.addWaiter(*request.call->ticket, request.id);
    addPending(request);
}

void order_controller::forward(const request_context& request, decision_context& context)
{
    order_forward message { request.id, *request.call->ticket, *request.call };
    message.call.deadline = request.startLimit();
    context.commands.send(peer_command { send_to_peer { message.ticket.owner, std::move(message) } });
    addPending(request);
}

void order_controller::endOrder(const request_ended& ended, decision_context& context)
{
    const auto reply = ended.reply.value_or(unknownOutcome({ failure_kind::EndpointBroke }));
    for (const auto waiter : m_registry.complete(*ended.context.order, reply, context.now))
        endPending(waiter, reply, context);
}

void order_controller::detach(request_id id, std::optional<call_reply> reply, decision_context& context)
{
    const auto pending = m_pending.find(id);
    if (pending == m_pending.end())
        return;
    const auto& request = pending->second.context;
    if (request.disposition != request_disposition::ForwardOrder)
        m_registry.removeWaiter(*request.call->ticket, id);
    endPending(id, std::move(reply), context);
}

void order_controller::receive(const peer_received& received, decision_context& context)
{
    const auto* outcome = std::get_if<order_outcome>(&received.message);
    if (!outcome)
        return;
    const auto pending = m_pending.find(outcome->id);
    if (pending == m_pending.end())
        return;
    const auto& request = pending->second.context;
    // Only the owner of the ticket may report the outcome of its order.
    if (request.disposition == request_disposition::ForwardOrder && request.call->ticket->owner == received.from)
        endPending(outcome->id, outcome->reply, context);
}

void order_controller::failForwards(const entry_vm_id& owner, const std::function<bool(const order_ticket&)>& isLost,
    failure_kind problem, decision_context& context)
{
    std::vector<request_id> lost;
    for (const auto& [id, pending] : m_pending) {
        const auto& ticket = *pending.context.call->ticket;
        if (pending.context.disposition == request_disposition::ForwardOrder && ticket.owner == owner && isLost(ticket))
            lost.push_back(id);
    }
    for (const auto id : lost)
        endPending(id, unknownOutcome({ problem, owner.value }), context);
}

void order_controller::addPending(const request_context& request)
{
    const auto replyDeadline = request.deadline == never ? never : request.deadline + replyGracePeriod;
    m_pending.emplace(request.id, pending_request { withoutBody(request), replyDeadline });
    m_replyDeadlines.emplace(replyDeadline, request.id);
}

void order_controller::endPending(request_id id, std::optional<call_reply> reply, decision_context& context)
{
    auto node = m_pending.extract(id);
    KUMQUATBEAM_INVARIANT(!node.empty());
    m_replyDeadlines.erase({ node.mapped().replyDeadline, id });
    auto request = std::move(node.mapped().context);
    if (reply && reply->problem)
        context.log.refused({ .request = id,
            .account = request.account,
            .pool = request.call->pool,
            .decidedBy = name(),
            .problem = *reply->problem });
    context.raised.emplace_back(request_ended { std::move(request), std::move(reply) });
}

} // namespace kumquatbeam
