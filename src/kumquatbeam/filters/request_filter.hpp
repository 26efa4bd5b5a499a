#pragma once

#include "kumquatbeam/types/request_context.hpp"

#include <optional>
#include <string_view>

namespace kumquatbeam {

/// One step of the chain that every request goes through. A filter reads the controllers' state and changes only the
/// request's context.
class request_filter {
public:
    virtual ~request_filter() = default;

    /// Name in logs.
    virtual std::string_view name() const = 0;

    /// Ends the request with a reply, or lets it pass by returning nothing.
    virtual std::optional<call_reply> apply(request_context&, time_point now) const = 0;
};

/// The reply of a filter that refuses a request before any byte of it has left.
call_reply notRun(failure);

/// The reply to a call that may or may not have run.
call_reply unknownOutcome(failure);

} // namespace kumquatbeam
