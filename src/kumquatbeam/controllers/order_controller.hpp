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

/// Owns the orders of this router, and the requests that wait for the reply of an order, whether this router or a peer
/// owns it. An order is a separate request: requests that callers make under its ticket only wait for its reply, so a
/// caller that disconnects does not cancel it.
class order_controller final : public controller {
public:
    order_controller(entry_vm_id self, incarnation_id, const configuration_controller&, internal_request_ids&);

    std::string_view name() const override { return "orders"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;

    const order_registry& registry() const { return m_registry; }

    /// Whether the account is below its limit of open tickets.
    bool canIssueTicket(const client_account_id&) const;

    /// Makes a refusal by the filter chain consistent with the state of the order. Other deliveries under the same
    /// ticket may be in flight or may have run. "Not run" is kept only if the ticket can be cancelled, so that nothing
    /// runs under it later; otherwise the reply becomes "unknown".
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
    /// Detaches a waiting request from its order and ends it; the order continues.
    void detach(request_id, std::optional<call_reply>, decision_context&);
    /// Ends a request that is no longer attached to its order.
    void endPending(request_id, std::optional<call_reply>, decision_context&);

    const configuration_controller& m_configuration;
    internal_request_ids& m_ids;
    order_registry m_registry;
    std::random_device m_nonceSource;
    std::unordered_map<request_id, pending_request> m_pending;
    std::set<std::pair<time_point, request_id>> m_replyDeadlines;
};

} // namespace kumquatbeam
