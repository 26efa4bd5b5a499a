#include "kumquatbeam/controllers/reply_controller.hpp"

#include "kumquatbeam/filters/request_filter.hpp"

#include <string>
#include <utility>

namespace kumquatbeam {

void reply_controller::handle(const decision_event& event, decision_context& context)
{
    // Each duty reports its drops at most once a second.
    if (const auto* dropped = std::get_if<connections_dropped>(&event))
        context.log.failed(dropped->part, { dropped->cause, "dropped", std::to_string(dropped->count) });
    const auto* ended = std::get_if<request_ended>(&event);
    // An order has no caller; its reply goes to the requests that wait for it.
    if (!ended || !ended->reply || ended->context.order)
        return;
    deliver(ended->context, *ended->reply, context);
}

void reply_controller::deliver(const request_context& request, call_reply reply, decision_context& context)
{
    if (!request.forwardedBy) {
        context.commands.send(caller_command { reply_to_caller { request.id, std::move(reply) } });
        return;
    }
    if (reply.body.size() > forwardedBodyLimit)
        reply = unknownOutcome({ failure_kind::AnswerTooLarge, "body", std::to_string(reply.body.size()) });
    const auto& origin = *request.forwardedBy;
    context.commands.send(peer_command { send_to_peer { origin.peer, order_outcome { origin.id, std::move(reply) } } });
}

} // namespace kumquatbeam
