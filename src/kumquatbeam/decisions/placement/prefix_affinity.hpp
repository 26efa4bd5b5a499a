#pragma once

#include "kumquatbeam/decisions/placement/placement_strategy.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// For model engines: requests that share a long beginning of their prompts go to the same few engines, which then have
/// it in their caches. Rendezvous hashing gives each beginning its homes, the same ones at every router; an engine that
/// comes or goes moves only the beginnings that it is a home of.
///
/// Among the homes the one goes first that reads the prompt soonest. Prompts that share little go to the best of a
/// small random sample, of the router's own failure domain as a rule: were the best of all engines taken, every router
/// would send to the same one until the next word of its load.
class prefix_affinity final : public placement_strategy {
public:
    /// Engines that are the home of one beginning.
    static constexpr std::size_t enginesPerPrefix = 2;

    /// Shared tokens from which a beginning has homes; fewer are read faster than a detour costs.
    static constexpr token_count affinityThreshold { 1024 };

    /// Engines drawn from the own failure domain, and from the others, for a prompt without homes.
    static constexpr std::size_t sampleSize = 3;

    /// Time by which an engine in another failure domain has to read a prompt sooner: traffic between domains is dear.
    static constexpr std::chrono::milliseconds crossDomainPenalty { 40 };

    /// Time for which an engine is taken to keep what it has read.
    static constexpr std::chrono::seconds cacheRetention { 8 };

    std::string_view name() const override { return "prompt-homes"; }
    std::optional<placement> place(
        const placement_call&, std::span<const endpoint_view>, time_point now) const override;
    std::chrono::microseconds waitTime(const endpoint_view& row) const override
    {
        return prefillTime(row, row.totalPrefillTokens());
    }
    void recordPlaced(const prompt_metadata&, const endpoint_id&, time_point now) override;

private:
    struct candidate {
        const endpoint_view* row = nullptr;
        std::uint64_t rank = 0;
        token_count prefillTokens {};
        std::chrono::microseconds wait {};
        /// When the prompt has been read, were it sent now.
        std::chrono::microseconds prefillEnd {};
    };

    static std::chrono::microseconds prefillTime(const endpoint_view&, token_count);
    std::vector<candidate> preferredEngines(
        const placement_call&, std::span<const endpoint_view>, time_point now) const;
    std::vector<candidate> sampledEngines(const placement_call&, std::span<const endpoint_view>, time_point now) const;
    void estimatePrefill(const placement_call&, candidate&, bool isHighestRanked, time_point now) const;
    static void keepHighestRanked(std::vector<candidate>&, std::size_t count);
    static void sortByPrefillEnd(std::vector<candidate>&);
    bool isCached(const endpoint_id&, prompt_part_id prefix, time_point now) const;

    /// Until when each engine is taken to keep a beginning that this router has sent there.
    std::unordered_map<endpoint_id, std::unordered_map<prompt_part_id, time_point>> m_cachedUntil;
    time_point m_nextSweep {};
};

} // namespace kumquatbeam
