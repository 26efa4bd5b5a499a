#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class route_controller;

/// Finds the route and the pool of the request, and whether the call may be retried.
class route_filter final : public request_filter {
public:
    explicit route_filter(const route_controller& routes)
        : m_routes(routes)
    {
    }

    std::string_view name() const override { return "route"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const route_controller& m_routes;
};

} // namespace kumquatbeam
