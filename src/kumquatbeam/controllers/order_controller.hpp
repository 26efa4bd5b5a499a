#pragma once

#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/internal_request_ids.hpp"
#include "kumquatbeam/decisions/order_registry.hpp"

#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace kumquatbeam {

/// Owns the orders that this router holds, and the requests that wait for an order's reply: here, or from the router
/// that holds it. An order is a request of its own; the requests that callers make under its ticket only wait for it,
/// so a caller that leaves stops nothing.
class order_controller final : public controller {
public:
    order_controller(entry_vm_id self, incarnation_id, const configuration_controller&, internal_request_ids&);

    std::string_view name() const override { return "orders"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;

    const order_registry& registry() const { return m_registry; }

    /// Whether the account may have one more ticket.
    bool canIssueTicket(const client_account_id&) const;

    /// Makes a refusal by the filter chain true of the whole order. Other deliveries under the same ticket may be on
    /// their way or may have run, so "not run" stands only where it is proved: the ticket is closed, so that nothing
    /// runs under it later, or the reply becomes "unknown".
    void reconcileRefusal(const request_context&, call_reply&, time_point now);

private:
    struct pending_request {
        request_context context;
        time_point replyDeadline;
    };

    void admit(const request_context&, decision_context&);
    void issue(const request_context&, decision_context&);
    void place(const request_context&, decision_context&);
    void join(const request_context&);
    void forward(const request_context&, decision_context&);
    void endOrder(const request_ended&, decision_context&);
    void receive(const peer_received&, decision_context&);
    void failForwards(const entry_vm_id& owner, const std::function<bool(const order_ticket&)>& isLost,
        failure_kind problem, decision_context&);

    void addPending(const request_context&);
    /// Takes a request away from its order, which goes on.
    void detach(request_id, std::optional<call_reply>, decision_context&);
    /// Ends a request that its order does not know any more.
    void endPending(request_id, std::optional<call_reply>, decision_context&);

    const configuration_controller& m_configuration;
    internal_request_ids& m_ids;
    order_registry m_registry;
    std::random_device m_nonceSource;
    std::unordered_map<request_id, pending_request> m_pending;
    std::set<std::pair<time_point, request_id>> m_replyDeadlines;
};

} // namespace kumquatbeam
