#pragma once

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace kumquatbeam {

/// A time after the clock's epoch, so that it differs from an unset time.
inline const time_point testStart = time_point {} + std::chrono::hours(1);

inline constexpr std::chrono::milliseconds testExchangePeriod { 100 };
inline constexpr std::chrono::milliseconds testLeaseDuration { 1000 };

/// The view that router `self` in `north` has of a pool `model` with two endpoints of `slots` each in `north`.
inline pool_view viewOf(const std::string& self, std::int32_t slots)
{
    pool_view view { .pool = { "model" }, .self = { self }, .domain = { "north" } };
    view.exchangePeriod = testExchangePeriod;
    view.leaseDuration = testLeaseDuration;
    view.meanCost = { 1'000'000 };
    view.endpoints.push_back({ .endpoint = { "e1" }, .domain = { "north" }, .slots = { slots } });
    view.endpoints.push_back({ .endpoint = { "e2" }, .domain = { "north" }, .slots = { slots } });
    return view;
}

inline void addRouter(pool_view& view, const std::string& name, bool isReachable = true, std::uint64_t incarnation = 1)
{
    const bool isSelf = view.self.value == name;
    view.routers.push_back({ { name }, { "north" }, isReachable, { isSelf ? 0 : incarnation } });
}

inline account_backlog& addAccount(pool_view& view, const std::string& name, std::int64_t share, std::int64_t waiting)
{
    view.accounts.push_back({ .account = { name }, .share = { share }, .waiting = waiting });
    return view.accounts.back();
}

/// A report with one account row; `addHeld` adds the sender's leases.
inline slot_report reportOf(const std::string& account, std::uint32_t waiting, std::int64_t served = 0)
{
    slot_report report { .pool = wireKeyOf(std::string("model")) };
    report.accounts.push_back({ wireKeyOf(account), waiting, 0, { served } });
    return report;
}

inline void addHeld(slot_report& report, const std::string& endpoint, std::int32_t leased, std::int32_t running)
{
    report.endpoints.push_back({ wireKeyOf(endpoint), { leased }, { running } });
}

inline std::int32_t leasedSlots(const slot_grant& grant)
{
    std::int32_t sum = 0;
    for (const auto& row : grant.endpoints)
        sum += row.leased.value;
    return sum;
}

inline std::int64_t quotaIn(const slot_grant& grant, const std::string& account)
{
    const auto row = std::find_if(grant.accounts.begin(), grant.accounts.end(),
        [&](const slot_grant::account_row& candidate) { return candidate.account == wireKeyOf(account); });
    return row == grant.accounts.end() ? 0 : row->quota;
}

} // namespace kumquatbeam
