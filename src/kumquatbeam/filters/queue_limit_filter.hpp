#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

class placement_controller;

/// @{ Bounds of the retry delay of a refused caller. Within them the delay is the estimated time until its request
/// would have started.
inline constexpr std::chrono::seconds shortestRetryDelay { 1 };
inline constexpr std::chrono::seconds longestRetryDelay { 60 };
/// @}

/// Refuses a request whose account has reached its limit of waiting requests, or that would start too late for its
/// deadline.
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
