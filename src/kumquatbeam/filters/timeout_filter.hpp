#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

/// Limits a request by the caller's deadline and the route's timeout, whichever is earlier.
class timeout_filter final : public request_filter {
public:
    std::string_view name() const override { return "timeout"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;
};

} // namespace kumquatbeam
