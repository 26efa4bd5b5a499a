#include "kumquatbeam/decisions/placement/prefix_affinity.hpp"

#include "kumquatbeam/decisions/placement/mix_bits.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace kumquatbeam {

namespace {

    /// The last part of the prompt that other requests may share; nothing when the prompt has no shared part.
    std::optional<prompt_part_id> sharedPrefixOf(const prompt_metadata& prompt)
    {
        if (prompt.parts.size() < 2)
            return std::nullopt;
        return prompt.parts[prompt.parts.size() - 2].id;
    }

    /// Rank of an engine for a part of a prompt. Every router computes the same rank, and each part orders the engines
    /// differently.
    std::uint64_t rankOf(const endpoint_view& row, prompt_part_id part)
    {
        return mixBits(row.key.value ^ mixBits(part.value));
    }

} // namespace

std::optional<placement> prefix_affinity::place(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    const auto candidates = call.prompt.sharedTokens() >= affinityThreshold ? preferredEngines(call, endpoints, now)
                                                                            : sampledEngines(call, endpoints, now);
    if (candidates.empty() || candidates.front().wait > call.waitLimit)
        return std::nullopt;
    const auto& best = candidates.front();
    placement choice { .endpoint = best.row->endpoint, .prefillTokens = best.prefillTokens, .wait = best.wait };
    choice.reason = call.prompt.sharedTokens() >= affinityThreshold ? "preferred engine with the earliest prefill"
                                                                    : "earliest prefill in a sample";
    if (candidates.size() > 1) {
        choice.runnerUp = candidates[1].row->endpoint;
        choice.runnerUpReason = "later prefill";
    }
    return choice;
}

std::vector<prefix_affinity::candidate> prefix_affinity::preferredEngines(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    std::vector<candidate> preferred;
    for (const auto& row : endpoints) {
        if (row.isUsable)
            preferred.push_back({ &row, rankOf(row, *sharedPrefixOf(call.prompt)) });
    }
    keepHighestRanked(preferred, enginesPerPrefix);
    for (std::size_t i = 0; i < preferred.size(); ++i)
        estimatePrefill(call, preferred[i], i == 0, now);
    sortByPrefillEnd(preferred);
    return preferred;
}

std::vector<prefix_affinity::candidate> prefix_affinity::sampledEngines(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    // The last part is specific to the request or its session, so each request or session gets its own sample.
    const auto own = call.prompt.parts.empty() ? prompt_part_id {} : call.prompt.parts.back().id;
    std::vector<candidate> local;
    std::vector<candidate> remote;
    for (const auto& row : endpoints) {
        if (row.isUsable)
            (row.domain == call.domain ? local : remote).push_back({ &row, rankOf(row, own) });
    }
    keepHighestRanked(local, sampleSize);
    keepHighestRanked(remote, sampleSize);
    for (auto& engine : local)
        estimatePrefill(call, engine, false, now);
    for (auto& engine : remote) {
        estimatePrefill(call, engine, false, now);
        engine.prefillEnd += crossDomainPenalty;
    }
    local.insert(local.end(), remote.begin(), remote.end());
    sortByPrefillEnd(local);
    return local;
}

void prefix_affinity::recordPlaced(const prompt_metadata& prompt, const endpoint_id& endpoint, time_point now)
{
    const auto prefix = sharedPrefixOf(prompt);
    if (!prefix)
        return;
    m_cachedUntil[endpoint][*prefix] = now + cacheRetention;
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + cacheRetention;
    for (auto& [id, prefixes] : m_cachedUntil)
        std::erase_if(prefixes, [now](const auto& entry) { return entry.second < now; });
    std::erase_if(m_cachedUntil, [](const auto& entry) { return entry.second.empty(); });
}

std::chrono::microseconds prefix_affinity::prefillTime(const endpoint_view& row, token_count tokens)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(tokens.value) / row.prefillRate * microsecondsPerMillisecond));
}

void prefix_affinity::estimatePrefill(
    const placement_call& call, candidate& engine, bool isHighestRanked, time_point now) const
{
    const auto& row = *engine.row;
    const auto prefix = sharedPrefixOf(call.prompt);
    const bool isPrefixCached = prefix && (isHighestRanked || isCached(row.endpoint, *prefix, now));
    const auto shared = call.prompt.sharedTokens();
    engine.prefillTokens = call.prompt.promptTokens;
    if (isPrefixCached)
        engine.prefillTokens -= std::min(shared, engine.prefillTokens);
    engine.wait = prefillTime(row, row.totalPrefillTokens());
    if (!isPrefixCached)
        engine.wait += prefillTime(row, shared);
    engine.prefillEnd = prefillTime(row, row.totalPrefillTokens() + engine.prefillTokens);
}

void prefix_affinity::keepHighestRanked(std::vector<candidate>& candidates, std::size_t count)
{
    const auto keptCount = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(keptCount), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.rank > right.rank; });
    candidates.resize(keptCount);
}

void prefix_affinity::sortByPrefillEnd(std::vector<candidate>& candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.prefillEnd < right.prefillEnd; });
}

bool prefix_affinity::isCached(const endpoint_id& endpoint, prompt_part_id prefix, time_point now) const
{
    const auto prefixes = m_cachedUntil.find(endpoint);
    if (prefixes == m_cachedUntil.end())
        return false;
    const auto until = prefixes->second.find(prefix);
    return until != prefixes->second.end() && now < until->second;
}

} // namespace kumquatbeam
