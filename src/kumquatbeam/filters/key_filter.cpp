#include "kumquatbeam/filters/key_filter.hpp"

#include "kumquatbeam/controllers/route_controller.hpp"

namespace kumquatbeam {

namespace {

    /// Retry delay for callers of a router whose keys are stale. By then the keys may be confirmed again, or the retry
    /// goes to another router.
    constexpr std::chrono::milliseconds retryDelay { 100 };

} // namespace

std::optional<call_reply> key_filter::apply(request_context& context, time_point now) const
{
    const auto& matched = *context.matched;
    if (matched.route->isPublic || !matched.table->hasAccounts)
        return std::nullopt;
    if (now >= m_routes.keysExpireAt()) {
        auto reply = notRun({ failure_kind::KeysStale });
        reply.retryAt = now + retryDelay;
        return reply;
    }
    const auto* account = matched.table->accountOf(context.call->credential);
    if (!account)
        return notRun({ failure_kind::UnknownAccount, "credential" });
    context.account = *account;
    context.sendBefore = m_routes.keysExpireAt();
    return std::nullopt;
}

} // namespace kumquatbeam
