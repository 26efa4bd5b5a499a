#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class dispatch_controller;

/// Refuses a request immediately if no endpoint of its pool can start it in time.
class load_shedding_filter final : public request_filter {
public:
    explicit load_shedding_filter(const dispatch_controller& dispatch)
        : m_dispatch(dispatch)
    {
    }

    std::string_view name() const override { return "room"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const dispatch_controller& m_dispatch;
};

} // namespace kumquatbeam
