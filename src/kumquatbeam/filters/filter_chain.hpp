#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

#include <memory>
#include <vector>

namespace kumquatbeam {

/// The reply that ended a request in the chain, and the filter that returned it.
struct chain_verdict {
    std::string_view filter;
    call_reply reply;
};

/// The filters that every request passes through, in order.
class filter_chain {
public:
    void append(std::unique_ptr<request_filter>);

    /// Runs the filters until one ends the request; returns nothing if all of them admit it.
    std::optional<chain_verdict> apply(request_context&, time_point now) const;

private:
    std::vector<std::unique_ptr<request_filter>> m_filters;
};

} // namespace kumquatbeam
