#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class placement_controller;

/// @{ Bounds of the time after which a refused caller is told to come back; within them it is when its request would
/// have started.
inline constexpr std::chrono::seconds shortestRetryDelay { 1 };
inline constexpr std::chrono::seconds longestRetryDelay { 60 };
/// @}

/// Refuses a request whose account has as many waiting as its limit allows, or so many that the request would start too
/// late for its deadline.
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
