#include "kumquatbeam/controllers/pool_report.hpp"

#include <algorithm>

namespace kumquatbeam {

void describePools(const dispatch_pools& pools, status_report& report)
{
    for (const auto& [id, pool] : pools) {
        for (const auto& row : pool.endpoints()) {
            const bool isEvacuated = pool.isEvacuated(row.endpoint);
            report.endpoints.push_back(
                { row.endpoint, id, row.slots, slot_count { static_cast<std::int32_t>(row.running) },
                    !row.isUsable && !isEvacuated, pool.isEjected(row.endpoint), isEvacuated, pool.isCold(row.endpoint),
                    pool.hasLearnedRate(row) ? row.prefillRate : 0 });
        }
        report.coldPools.push_back({ id, pool.counts() });
    }
}

void addPoolLoad(dispatch_pools& pools, fleet_heartbeat& heartbeat, time_point now)
{
    for (auto& [id, pool] : pools) {
        // A rate is reported in a row that is sent anyway, since each row has a cost.
        for (const auto& row : pool.endpoints()) {
            if (row.running > 0)
                heartbeat.endpoints.push_back({ row.key, static_cast<std::uint32_t>(row.running), row.prefillTokens,
                    pool.takeRateReport(row, now) });
        }
        for (const auto& [account, rates] : pool.rates(now))
            heartbeat.accounts.push_back({ account, { static_cast<std::int64_t>(rates.requested) },
                { static_cast<std::int64_t>(rates.admitted) } });
    }
}

time_point logColdChanges(dispatch_pools& pools, std::string_view part, decision_context& context)
{
    time_point nextChangeAt = never;
    for (auto& [id, pool] : pools) {
        for (const auto& [endpoint, isCold] : pool.takeColdChanges(context.now))
            context.log.changed({ part, isCold ? "cold" : "warm", endpoint.value + " pool=" + id.value });
        nextChangeAt = std::min(nextChangeAt, pool.nextWarmAt(context.now));
    }
    return nextChangeAt;
}

} // namespace kumquatbeam
