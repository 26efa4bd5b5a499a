#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class route_controller;

/// Finds the client account of the request's key if its route requires one. Refuses the request if the keys are stale.
class key_filter final : public request_filter {
public:
    explicit key_filter(const route_controller& routes)
        : m_routes(routes)
    {
    }

    std::string_view name() const override { return "key"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const route_controller& m_routes;
};

} // namespace kumquatbeam
