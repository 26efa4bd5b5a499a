#include "kumquatbeam/decisions/local_strategy.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    /// Whether `left` has had less service per share than `right`.
    bool isServedLess(const account_backlog& left, const account_backlog& right)
    {
        const auto leftScaled = static_cast<double>(left.served.value) / static_cast<double>(left.share.value);
        const auto rightScaled = static_cast<double>(right.served.value) / static_cast<double>(right.share.value);
        return leftScaled < rightScaled;
    }

} // namespace

const account_backlog* leastServedAccount(const pool_view& view)
{
    const account_backlog* best = nullptr;
    for (const auto& account : view.accounts) {
        if (account.waiting > 0 && (!best || isServedLess(account, *best)))
            best = &account;
    }
    return best;
}

slot_count staticSlice(const pool_view& view, std::size_t endpointIndex)
{
    const auto self = std::find_if(
        view.routers.begin(), view.routers.end(), [&](const router_presence& row) { return row.router == view.self; });
    if (self == view.routers.end())
        return {};
    const auto routers = static_cast<std::int32_t>(view.routers.size());
    const auto position = static_cast<std::int32_t>(self - view.routers.begin());
    const auto slots = view.endpoints[endpointIndex].slots.value;
    const auto rotatedPosition
        = static_cast<std::int32_t>((static_cast<std::size_t>(position) + endpointIndex) % view.routers.size());
    return { slots / routers + (rotatedPosition < slots % routers ? 1 : 0) };
}

std::string_view local_strategy::name() const
{
    return m_division == slot_division::WholePool ? "local-only" : "static-slices";
}

std::optional<placement_choice> local_strategy::choose(const pool_view& view, time_point)
{
    const auto* account = leastServedAccount(view);
    if (!account)
        return std::nullopt;
    const auto endpoint
        = leastLoadedEndpoint(view, [&](std::size_t index) { return uncoordinatedSlots(view, index, m_division); });
    if (!endpoint.best)
        return std::nullopt;
    return makePlacementChoice(*account, endpoint, "least service per share, fewest calls");
}

slot_count uncoordinatedSlots(const pool_view& view, std::size_t endpointIndex, slot_division division)
{
    return division == slot_division::WholePool ? view.endpoints[endpointIndex].slots
                                                : staticSlice(view, endpointIndex);
}

placement_choice makePlacementChoice(
    const account_backlog& account, const endpoint_ranking& endpoint, std::string_view reason, time_point sendBefore)
{
    placement_choice choice {
        .account = account.account, .endpoint = endpoint.best->endpoint, .sendBefore = sendBefore, .reason = reason
    };
    if (endpoint.second) {
        choice.runnerUp = endpoint.second->endpoint;
        choice.runnerUpReason = "more calls";
    }
    return choice;
}

} // namespace kumquatbeam
