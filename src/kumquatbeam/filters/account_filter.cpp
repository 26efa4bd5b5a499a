#include "kumquatbeam/filters/account_filter.hpp"

#include "kumquatbeam/controllers/configuration_controller.hpp"

namespace kumquatbeam {

std::optional<call_reply> account_filter::apply(request_context& context, time_point) const
{
    const auto document = m_configuration.current();
    if (!document)
        return notRun({ failure_kind::NotReady });
    const auto* account = m_configuration.accountOf(context.call->credential);
    if (!account)
        return notRun({ failure_kind::UnknownAccount, "credential" });
    context.account = account->id;
    return std::nullopt;
}

} // namespace kumquatbeam
