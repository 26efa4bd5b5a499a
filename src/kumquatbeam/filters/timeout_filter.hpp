#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

namespace kumquatbeam {

/// Bounds a request by its caller's deadline and its route's timeout, whichever is sooner.
class timeout_filter final : public request_filter {
public:
    std::string_view name() const override { return "timeout"; }
    std::optional<call_reply> apply(request_context&, time_point now) const override;
};

} // namespace kumquatbeam
