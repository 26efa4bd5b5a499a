#include "kumquatbeam/decisions/shared_counters.hpp"

#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>

namespace kumquatbeam {

std::string_view shared_counters::name() const
{
    return m_division == slot_division::WholePool ? "shared-counters-whole-pool" : "shared-counters";
}

std::optional<placement_choice> shared_counters::choose(const pool_view& view, time_point)
{
    const account_backlog* next = nullptr;
    for (const auto& account : view.accounts) {
        if (account.waiting > 0 && (!next || normalisedService(account) < normalisedService(*next)))
            next = &account;
    }
    if (!next)
        return std::nullopt;
    const auto endpoint
        = leastLoadedEndpoint(view, [&](std::size_t index) { return uncoordinatedSlots(view, index, m_division); });
    if (!endpoint.best)
        return std::nullopt;
    return makePlacementChoice(*next, endpoint, "least service per share in the fleet, fewest calls");
}

void shared_counters::receive(const entry_vm_id& from, const peer_message& message, const pool_view& view, time_point)
{
    const auto* report = std::get_if<slot_report>(&message);
    const auto sender = std::find_if(
        view.routers.begin(), view.routers.end(), [&](const router_presence& row) { return row.router == from; });
    if (!report || sender == view.routers.end())
        return;
    m_peerService.record(from, sender->incarnation, report->accounts);
}

std::vector<addressed_message> shared_counters::exchange(const pool_view& view, time_point now)
{
    m_exchangeAt = now + view.exchangePeriod;
    slot_report report { .pool = wireKeyOf(view.pool), .document = view.document };
    for (const auto& account : view.accounts) {
        const auto key = wireKeyOf(account.account);
        auto& sent = m_sent[key];
        if (sent == account.served)
            continue;
        sent = account.served;
        report.accounts.push_back({ key, static_cast<std::uint32_t>(account.waiting),
            static_cast<std::uint32_t>(account.running), account.served });
    }
    std::vector<addressed_message> messages;
    for (const auto& router : view.routers) {
        if (router.isReachable && router.router != view.self && !report.accounts.empty())
            messages.push_back({ router.router, report });
    }
    return messages;
}

double shared_counters::normalisedService(const account_backlog& account) const
{
    const auto total = account.served + m_peerService.total(wireKeyOf(account.account));
    return static_cast<double>(total.value) / static_cast<double>(account.share.value);
}

} // namespace kumquatbeam
