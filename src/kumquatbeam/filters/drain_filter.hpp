#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class drain_controller;

/// Refuses requests during a shutdown, after the notice period in which the load balancer moves callers away.
class drain_filter final : public request_filter {
public:
    explicit drain_filter(const drain_controller& drain)
        : m_drain(drain)
    {
    }

    std::string_view name() const override { return "drain"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const drain_controller& m_drain;
};

} // namespace kumquatbeam
