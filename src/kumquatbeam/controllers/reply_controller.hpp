#pragma once

#include "kumquatbeam/controllers/controller.hpp"

namespace kumquatbeam {

/// Sends the reply of each ended request to its origin, and logs which connections were dropped. It has no state.
class reply_controller final : public controller {
public:
    std::string_view name() const override { return "reply"; }
    void handle(const decision_event&, decision_context&) override;

    /// Sends a reply to the caller, or to the peer that forwarded the request.
    static void deliver(const request_context&, call_reply, decision_context&);
};

} // namespace kumquatbeam
