#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class configuration_controller;

/// Finds the client account that the request's credential belongs to.
class account_filter final : public request_filter {
public:
    explicit account_filter(const configuration_controller& configuration)
        : m_configuration(configuration)
    {
    }

    std::string_view name() const override { return "account"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const configuration_controller& m_configuration;
};

} // namespace kumquatbeam
