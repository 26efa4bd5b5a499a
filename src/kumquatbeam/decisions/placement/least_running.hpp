#pragma once

#include "kumquatbeam/decisions/placement/placement_strategy.hpp"

namespace kumquatbeam {

/// For plain services: the endpoint with the lowest utilisation. Endpoints of the router's own failure domain are
/// preferred as long as their utilisation is low. The utilisation of an endpoint that has reported waiting calls or a
/// slowdown within the last second counts those.
class least_running final : public placement_strategy {
public:
    std::string_view name() const override { return "least-running"; }
    std::optional<placement> place(
        const placement_call&, std::span<const endpoint_view>, time_point now) const override;
    std::chrono::microseconds waitTime(const endpoint_view&) const override { return {}; }
    void recordPlaced(const prompt_metadata&, const endpoint_id&, time_point) override { }
};

} // namespace kumquatbeam
