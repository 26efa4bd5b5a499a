#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include "kumquatbeam/decisions/leased_quotas.hpp"
#include "kumquatbeam/decisions/local_strategy.hpp"
#include "kumquatbeam/decisions/shared_counters.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    /// Maps a strategy's name in the settings to its factory.
    struct strategy_row {
        std::string_view name;
        std::unique_ptr<capacity_strategy> (*make)();
    };

    constexpr auto strategyTable = std::to_array<strategy_row>({
        { "local-only",
            [] { return std::unique_ptr<capacity_strategy>(new local_strategy(slot_division::WholePool)); } },
        { "static-slices",
            [] { return std::unique_ptr<capacity_strategy>(new local_strategy(slot_division::StaticSlice)); } },
        { "shared-counters",
            [] { return std::unique_ptr<capacity_strategy>(new shared_counters(slot_division::StaticSlice)); } },
        { "shared-counters-whole-pool",
            [] { return std::unique_ptr<capacity_strategy>(new shared_counters(slot_division::WholePool)); } },
        { "leased-quotas", [] { return std::unique_ptr<capacity_strategy>(new leased_quotas); } },
    });

} // namespace

void capacity_strategy::receive(const entry_vm_id&, const peer_message&, const pool_view&, time_point) { }

std::vector<addressed_message> capacity_strategy::exchange(const pool_view&, time_point)
{
    return {};
}

std::unique_ptr<capacity_strategy> makeCapacityStrategy(std::string_view name)
{
    const auto row = std::find_if(strategyTable.begin(), strategyTable.end(),
        [name](const strategy_row& candidate) { return candidate.name == name; });
    return row == strategyTable.end() ? nullptr : row->make();
}

std::vector<std::string_view> capacityStrategyNames()
{
    std::vector<std::string_view> names;
    names.reserve(strategyTable.size());
    for (const auto& row : strategyTable)
        names.push_back(row.name);
    return names;
}

} // namespace kumquatbeam
