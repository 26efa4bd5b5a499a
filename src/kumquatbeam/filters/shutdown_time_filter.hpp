#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class dispatch_controller;
class drain_controller;

/// Refuses, during a shutdown, a request whose like has lately taken longer than the router will run. Its caller can
/// try another router at once; here, the answer would be cut off.
class shutdown_time_filter final : public request_filter {
public:
    shutdown_time_filter(const drain_controller& drain, const dispatch_controller& dispatch)
        : m_drain(drain)
        , m_dispatch(dispatch)
    {
    }

    std::string_view name() const override { return "shutdown-time"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const drain_controller& m_drain;
    const dispatch_controller& m_dispatch;
};

} // namespace kumquatbeam
