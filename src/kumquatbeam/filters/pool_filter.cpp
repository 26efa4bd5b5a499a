#include "kumquatbeam/filters/pool_filter.hpp"

#include "kumquatbeam/controllers/configuration_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> pool_filter::apply(request_context& context, time_point) const
{
    const auto& pools = m_configuration.current()->pools;
    const auto pool = pools.find(context.call->pool);
    if (pool == pools.end())
        return notRun({ failure_kind::UnknownPool, "path", context.call->pool.value });
    // Only orders are forwarded. A forwarded call remains an order even if the pool's setting has changed meanwhile.
    context.isRepeatable
        = !context.forwardedBy && (pool->second.isRepeatable || context.call->effect == call_effect::Read);
    return std::nullopt;
}

} // namespace kumquatbeam
