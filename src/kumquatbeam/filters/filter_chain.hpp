#pragma once

#include "kumquatbeam/filters/request_filter.hpp"

#include <memory>
#include <vector>

namespace kumquatbeam {

/// The reply that ended a request in the chain, and the filter that gave it.
struct chain_verdict {
    std::string_view filter;
    call_reply reply;
};

/// The filters in the order in which every request meets them.
class filter_chain {
public:
    void append(std::unique_ptr<request_filter>);

    /// Runs the filters until one ends the request; nothing means that all let it pass.
    std::optional<chain_verdict> apply(request_context&, time_point now) const;

private:
    std::vector<std::unique_ptr<request_filter>> m_filters;
};

} // namespace kumquatbeam
