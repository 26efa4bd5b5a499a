#include "kumquatbeam/filters/order_ticket_filter.hpp"

#include "kumquatbeam/controllers/membership_controller.hpp"
#include "kumquatbeam/controllers/order_controller.hpp"

namespace kumquatbeam {

namespace {

    /// Retry delay for callers whose account has too many open tickets.
    constexpr std::chrono::seconds ticketsExhaustedRetryDelay { 1 };

    constexpr char ticketPlace[] = "ticket";

} // namespace

std::optional<call_reply> order_ticket_filter::apply(request_context& context, time_point now) const
{
    const auto& call = *context.call;
    if (call.isTicketRequest)
        return routeTicketRequest(context, now);
    if (context.isRepeatable)
        return std::nullopt;
    if (!call.ticket)
        return notRun({ failure_kind::TicketRequired, call.pool.value });
    if (m_orders.registry().isOwnerOf(*call.ticket))
        return routeLocally(context, now);
    return routeToOwner(context);
}

std::optional<call_reply> order_ticket_filter::routeTicketRequest(request_context& context, time_point now) const
{
    context.disposition = request_disposition::IssueTicket;
    if (m_orders.canIssueTicket(context.account))
        return std::nullopt;
    auto reply = notRun({ failure_kind::TicketsExhausted, context.account.value });
    reply.retryAt = now + ticketsExhaustedRetryDelay;
    return reply;
}

std::optional<call_reply> order_ticket_filter::routeLocally(request_context& context, time_point now) const
{
    const auto& call = *context.call;
    const auto* order = m_orders.registry().find(*call.ticket, now);
    if (!order)
        return unknownOutcome({ failure_kind::TicketUnknown, ticketPlace });
    if (order->account != context.account)
        return unknownOutcome({ failure_kind::TicketOfAnotherAccount, ticketPlace });
    if (order->state == order_state::Issued) {
        context.disposition = request_disposition::PlaceOrder;
        return std::nullopt;
    }
    if (order->fingerprint != fingerprintOf(call))
        return unknownOutcome({ failure_kind::TicketReused, ticketPlace });
    if (order->state == order_state::Ended)
        return order->reply;
    if (!m_orders.registry().canAddWaiter(*order))
        return unknownOutcome({ failure_kind::OrderInProgress, ticketPlace });
    context.disposition = request_disposition::JoinOrder;
    return std::nullopt;
}

std::optional<call_reply> order_ticket_filter::routeToOwner(request_context& context) const
{
    const auto& call = *context.call;
    const auto owner = m_membership.connectedPeers().find(call.ticket->owner);
    const bool isReachable = owner != m_membership.connectedPeers().end();
    const bool isOfEarlierIncarnation = call.ticket->owner == m_orders.registry().owner()
        || (isReachable && owner->second.incarnation != call.ticket->incarnation);
    // A forwarded request is never forwarded again, so that routers that disagree about the owner cannot loop it.
    if (context.forwardedBy || isOfEarlierIncarnation)
        return unknownOutcome({ failure_kind::TicketUnknown, ticketPlace });
    if (!isReachable)
        return unknownOutcome({ failure_kind::OwnerUnreachable, call.ticket->owner.value });
    if (call.body.size() > forwardedBodyLimit)
        return unknownOutcome({ failure_kind::RequestTooLarge, "body", std::to_string(call.body.size()),
            "at most " + std::to_string(forwardedBodyLimit) + " bytes" });
    context.disposition = request_disposition::ForwardOrder;
    return std::nullopt;
}

} // namespace kumquatbeam
