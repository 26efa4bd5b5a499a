#include "kumquatbeam/decisions/placement/prefix_affinity.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace kumquatbeam {

namespace {

    /// The deepest part that other requests may share; nothing where the prompt shares none.
    std::optional<prompt_part_id> beginningOf(const prompt_metadata& prompt)
    {
        if (prompt.parts.size() < 2)
            return std::nullopt;
        return prompt.parts[prompt.parts.size() - 2].id;
    }

    /// Mixes the bits of a word (the finalizer of MurmurHash3), so that every bit of a hash counts.
    std::uint64_t mixed(std::uint64_t word)
    {
        constexpr std::uint64_t first = 0xff51afd7ed558ccdULL;
        constexpr std::uint64_t second = 0xc4ceb9fe1a85ec53ULL;
        constexpr unsigned shift = 33;
        word ^= word >> shift;
        word *= first;
        word ^= word >> shift;
        word *= second;
        return word ^ (word >> shift);
    }

    /// Ranks engines for a part of a prompt: the same way at every router, and for each part in another order.
    std::uint64_t rankOf(const endpoint_view& row, prompt_part_id part)
    {
        return mixed(row.key.value ^ mixed(part.value));
    }

} // namespace

std::optional<placement> prefix_affinity::place(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    const auto candidates
        = call.prompt.sharedTokens() >= longBeginning ? homesOf(call, endpoints, now) : sampleFor(call, endpoints, now);
    if (candidates.empty() || candidates.front().wait > call.waitLimit)
        return std::nullopt;
    const auto& best = candidates.front();
    placement choice { .endpoint = best.row->endpoint, .prefillTokens = best.prefillTokens, .wait = best.wait };
    choice.reason = call.prompt.sharedTokens() >= longBeginning ? "home that reads it first" : "first of a sample";
    if (candidates.size() > 1) {
        choice.runnerUp = candidates[1].row->endpoint;
        choice.runnerUpReason = "reads it later";
    }
    return choice;
}

std::vector<prefix_affinity::candidate> prefix_affinity::homesOf(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    std::vector<candidate> homes;
    for (const auto& row : endpoints) {
        if (row.isUsable)
            homes.push_back({ &row, rankOf(row, *beginningOf(call.prompt)) });
    }
    keepFirst(homes, homeCount);
    for (std::size_t i = 0; i < homes.size(); ++i)
        assess(call, homes[i], i == 0, now);
    sortByReading(homes);
    return homes;
}

std::vector<prefix_affinity::candidate> prefix_affinity::sampleFor(
    const placement_call& call, std::span<const endpoint_view> endpoints, time_point now) const
{
    // The last part belongs to the request or to its session, so each of these draws a sample of its own.
    const auto own = call.prompt.parts.empty() ? prompt_part_id {} : call.prompt.parts.back().id;
    std::vector<candidate> near;
    std::vector<candidate> far;
    for (const auto& row : endpoints) {
        if (row.isUsable)
            (row.domain == call.domain ? near : far).push_back({ &row, rankOf(row, own) });
    }
    keepFirst(near, sampleSize);
    keepFirst(far, sampleSize);
    for (auto& one : near)
        assess(call, one, false, now);
    for (auto& one : far) {
        assess(call, one, false, now);
        one.readBy += detour;
    }
    near.insert(near.end(), far.begin(), far.end());
    sortByReading(near);
    return near;
}

void prefix_affinity::recordPlaced(const prompt_metadata& prompt, const endpoint_id& endpoint, time_point now)
{
    const auto beginning = beginningOf(prompt);
    if (!beginning)
        return;
    m_keptUntil[endpoint][*beginning] = now + keptFor;
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + keptFor;
    for (auto& [id, kept] : m_keptUntil)
        std::erase_if(kept, [now](const auto& entry) { return entry.second < now; });
    std::erase_if(m_keptUntil, [](const auto& entry) { return entry.second.empty(); });
}

std::chrono::microseconds prefix_affinity::timeToRead(const endpoint_view& row, token_count tokens)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(tokens.value) / row.prefillRate * microsecondsPerMillisecond));
}

void prefix_affinity::assess(const placement_call& call, candidate& one, bool isHome, time_point now) const
{
    const auto& row = *one.row;
    const auto beginning = beginningOf(call.prompt);
    const bool isKept = beginning && (isHome || keeps(row.endpoint, *beginning, now));
    const auto shared = call.prompt.sharedTokens();
    one.prefillTokens = call.prompt.promptTokens;
    if (isKept)
        one.prefillTokens -= std::min(shared, one.prefillTokens);
    one.wait = timeToRead(row, row.toReadInAll());
    if (!isKept)
        one.wait += timeToRead(row, shared);
    one.readBy = timeToRead(row, row.toReadInAll() + one.prefillTokens);
}

void prefix_affinity::keepFirst(std::vector<candidate>& candidates, std::size_t count)
{
    const auto kept = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.rank > right.rank; });
    candidates.resize(kept);
}

void prefix_affinity::sortByReading(std::vector<candidate>& candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.readBy < right.readBy; });
}

bool prefix_affinity::keeps(const endpoint_id& endpoint, prompt_part_id beginning, time_point now) const
{
    const auto kept = m_keptUntil.find(endpoint);
    if (kept == m_keptUntil.end())
        return false;
    const auto until = kept->second.find(beginning);
    return until != kept->second.end() && now < until->second;
}

} // namespace kumquatbeam
