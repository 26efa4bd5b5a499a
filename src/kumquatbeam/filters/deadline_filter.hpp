#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class configuration_controller;

/// Stores the request's deadline and refuses a request whose deadline has passed.
class deadline_filter final : public request_filter {
public:
    explicit deadline_filter(const configuration_controller& configuration)
        : m_configuration(configuration)
    {
    }

    std::string_view name() const override { return "deadline"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const configuration_controller& m_configuration;
};

} // namespace kumquatbeam
