#pragma once

#include "kumquatbeam/types/request_context.hpp"

#include <optional>
#include <string_view>

namespace kumquatbeam {

/// One step of the filter chain. A filter reads the state of the controllers and changes only the request's context.
class request_filter {
public:
    virtual ~request_filter() = default;

    /// Name in logs.
    virtual std::string_view name() const = 0;

    /// Returns a reply to end the request, or nothing to admit it.
    virtual std::optional<call_reply> apply(request_context&, time_point now) const = 0;
};

/// Makes the reply to a request that certainly has not run.
call_reply notRun(failure);

/// Makes the reply to a call that may or may not have run.
call_reply unknownOutcome(failure);

} // namespace kumquatbeam
