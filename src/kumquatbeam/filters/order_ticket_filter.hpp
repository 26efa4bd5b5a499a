#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class membership_controller;
class order_controller;

/// Decides which router handles an order. A write call to a pool with non-idempotent calls needs a ticket, and the
/// ticket names the only router incarnation that may place the order.
class order_ticket_filter final : public request_filter {
public:
    order_ticket_filter(const order_controller& orders, const membership_controller& membership)
        : m_orders(orders)
        , m_membership(membership)
    {
    }

    std::string_view name() const override { return "order-ticket"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    std::optional<call_reply> routeTicketRequest(request_context&, time_point now) const;
    std::optional<call_reply> routeLocally(request_context&, time_point now) const;
    std::optional<call_reply> routeToOwner(request_context&) const;

    const order_controller& m_orders;
    const membership_controller& m_membership;
};

} // namespace kumquatbeam
