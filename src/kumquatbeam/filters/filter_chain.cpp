#include "kumquatbeam/filters/filter_chain.hpp"

#include <utility>

namespace kumquatbeam {

void filter_chain::append(std::unique_ptr<request_filter> filter)
{
    m_filters.push_back(std::move(filter));
}

std::optional<chain_verdict> filter_chain::apply(request_context& context, time_point now) const
{
    for (const auto& filter : m_filters) {
        if (auto reply = filter->apply(context, now))
            return chain_verdict { filter->name(), std::move(*reply) };
    }
    return std::nullopt;
}

} // namespace kumquatbeam
