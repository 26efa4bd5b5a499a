#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class placement_controller;

/// How much later a caller is told to come back after a full queue.
inline constexpr std::chrono::seconds queueFullRetryDelay { 1 };

/// Refuses a request whose account already has as many waiting as its limit allows.
class queue_limit_filter final : public request_filter {
public:
    explicit queue_limit_filter(const placement_controller& placement)
        : m_placement(placement)
    {
    }

    std::string_view name() const override { return "queue-limit"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;

private:
    const placement_controller& m_placement;
};

} // namespace kumquatbeam
