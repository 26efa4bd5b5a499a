#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class configuration_controller;

/// Checks that the pool exists and decides whether the call is idempotent.
class pool_filter final : public request_filter {
public:
    explicit pool_filter(const configuration_controller& configuration)
        : m_configuration(configuration)
    {
    }

    std::string_view name() const override { return "pool"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const configuration_controller& m_configuration;
};

} // namespace kumquatbeam
