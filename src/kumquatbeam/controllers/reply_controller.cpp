#include "kumquatbeam/controllers/reply_controller.hpp"

namespace kumquatbeam {

void reply_controller::handle(const decision_event& event, decision_context& context)
{
    const auto* ended = std::get_if<request_ended>(&event);
    if (!ended || !ended->reply)
        return;
    const auto& request = ended->context;
    if (request.forwardedBy)
        context.commands.send(
            peer_command { send_to_peer { *request.forwardedBy, order_outcome { request.id, *ended->reply } } });
    else
        context.commands.send(caller_command { reply_to_caller { request.id, *ended->reply } });
}

} // namespace kumquatbeam
