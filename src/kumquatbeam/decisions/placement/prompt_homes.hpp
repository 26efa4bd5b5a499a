#pragma once

#include "kumquatbeam/decisions/placement/placement_strategy.hpp"
#include "kumquatbeam/settings/route_table.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// For model engines: requests that share a long beginning of their prompts go to the same engine, its home, which then
/// has it in its cache. Rendezvous hashing gives each beginning its home, the same one at every router; an engine that
/// comes or goes moves only the beginnings that it is the home of.
///
/// Where the home is busy, one of the engines that rank next takes the request and copies the beginning from the home,
/// which costs it less time than reading. Prompts that share little go to the engine that reads them soonest.
class prompt_homes final : public placement_strategy {
public:
    /// Engines among which a beginning stays: its home, and those that take over from it.
    static constexpr std::size_t homeCount = 3;

    /// Shared tokens from which a beginning has a home; fewer are read faster than a detour costs.
    static constexpr token_count longBeginning { 1024 };

    /// Time by which another engine has to read a prompt sooner than its home does. What is known of the engines is
    /// some tenths of a second old, and a copy of the beginning takes memory from others.
    static constexpr std::chrono::milliseconds spillMargin { 60 };

    /// Time for which an engine is taken to keep what it has read.
    static constexpr std::chrono::seconds keptFor { 8 };

    explicit prompt_homes(const engine_traits&);

    std::string_view name() const override { return "prompt-homes"; }
    std::optional<placement> place(
        const placement_call&, std::span<const endpoint_standing>, time_point now) const override;
    std::chrono::microseconds waitAt(const endpoint_standing& row) const override
    {
        return timeToRead(row, row.toReadInAll());
    }
    void recordPlaced(const prompt_shape&, const endpoint_id&, time_point now) override;

private:
    struct candidate {
        const endpoint_standing* row = nullptr;
        std::uint64_t score = 0;
        token_count toRead {};
        std::chrono::microseconds wait {};
        /// When the prompt has been read, were it sent now.
        std::chrono::microseconds readBy {};
        /// Whether it copies the beginning from the home.
        bool isFetched = false;
    };

    std::optional<placement> placeAtHome(const placement_call&, std::vector<candidate>, time_point now) const;
    std::optional<placement> placeAnywhere(const placement_call&, std::vector<candidate>, time_point now) const;
    void assess(const placement_call&, candidate&, const candidate& home, time_point now) const;

    static std::chrono::microseconds timeToRead(const endpoint_standing&, token_count);
    bool keeps(const endpoint_id&, prompt_part_id beginning, time_point now) const;

    /// Time in which one token is copied from another engine; zero where engines cannot.
    std::chrono::duration<double, std::micro> m_transferTime;
    /// Until when each engine is taken to keep a beginning that this router has sent there.
    std::unordered_map<endpoint_id, std::unordered_map<prompt_part_id, time_point>> m_keptUntil;
    time_point m_nextSweep {};
};

} // namespace kumquatbeam
