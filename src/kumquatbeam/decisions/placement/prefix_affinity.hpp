#pragma once

#include "kumquatbeam/decisions/placement/placement_strategy.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// For model engines: requests with a long common prompt prefix go to the same few engines, which then have it in their
/// prefix caches. Rendezvous hashing assigns the preferred engines of a prefix, the same ones at every router. When an
/// engine is added or removed, only the prefixes that prefer it move.
///
/// Among the preferred engines, the one that finishes the prefill first is used. Prompts with a short shared prefix go
/// to the best engine of a small random sample, usually in the router's own failure domain. If the best of all engines
/// were used, every router would send to the same one until its next load report.
class prefix_affinity final : public placement_strategy {
public:
    /// Number of preferred engines of one prefix.
    static constexpr std::size_t enginesPerPrefix = 2;

    /// Shared tokens from which a prefix has preferred engines. The prefill of fewer tokens takes less time than a
    /// detour to a preferred engine costs.
    static constexpr token_count affinityThreshold { 1024 };

    /// Engines sampled from the router's own failure domain, and as many from all others together, for a prompt without
    /// preferred engines.
    static constexpr std::size_t sampleSize = 3;

    /// Time by which an engine in another failure domain must finish the prefill sooner to be chosen, since traffic
    /// between domains is expensive.
    static constexpr std::chrono::milliseconds crossDomainPenalty { 40 };

    /// Time for which an engine is assumed to keep a prefix in its cache.
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
        /// Time until the end of the prefill if the prompt is sent now.
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

    /// Until when each engine is assumed to cache a prefix that this router has sent to it.
    std::unordered_map<endpoint_id, std::unordered_map<prompt_part_id, time_point>> m_cachedUntil;
    time_point m_nextSweep {};
};

} // namespace kumquatbeam
