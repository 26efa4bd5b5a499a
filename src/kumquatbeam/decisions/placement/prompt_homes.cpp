#include "kumquatbeam/decisions/placement/prompt_homes.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace kumquatbeam {

namespace {

    /// The deepest part that other requests may share; nothing where the prompt shares none.
    std::optional<prompt_part_id> beginningOf(const prompt_shape& prompt)
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

    /// The 64-bit FNV-1a hash of a name: the same in every router.
    std::uint64_t hashOf(const std::string& name)
    {
        std::uint64_t hash = 14695981039346656037ULL;
        for (const char character : name) {
            hash ^= static_cast<unsigned char>(character);
            hash *= 1099511628211ULL;
        }
        return hash;
    }

} // namespace

std::optional<placement> prompt_homes::place(
    const placement_call& call, std::span<const endpoint_standing> endpoints, time_point now) const
{
    const auto beginning = beginningOf(call.prompt);
    const bool hasHomes = beginning && call.prompt.sharedTokens() >= longBeginning;
    std::vector<candidate> candidates;
    for (const auto& row : endpoints) {
        if (row.isUsable)
            candidates.push_back(
                { &row, mixed(hashOf(row.endpoint.value) ^ mixed(beginning.value_or(prompt_part_id {}).value)) });
    }
    if (candidates.empty())
        return std::nullopt;
    if (hasHomes) {
        const auto kept = std::min(homeCount, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end(),
            [](const candidate& left, const candidate& right) { return left.score > right.score; });
        candidates.resize(kept);
    }
    for (std::size_t i = 0; i < candidates.size(); ++i)
        candidates[i] = assess(call, *candidates[i].row, hasHomes && i == 0, now);
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.readBy < right.readBy; });
    const auto& best = candidates.front();
    if (best.wait > call.waitLimit)
        return std::nullopt;
    placement choice { .endpoint = best.row->endpoint, .toRead = best.toRead, .wait = best.wait };
    choice.reason = hasHomes ? "home that reads it first" : "engine that reads it first";
    if (candidates.size() > 1) {
        choice.runnerUp = candidates[1].row->endpoint;
        choice.runnerUpReason = "reads it later";
    }
    return choice;
}

void prompt_homes::recordPlaced(const prompt_shape& prompt, const endpoint_id& endpoint, time_point now)
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

std::chrono::microseconds prompt_homes::timeToRead(const endpoint_standing& row, token_count tokens)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(tokens.value) / row.readingRate * microsecondsPerMillisecond));
}

prompt_homes::candidate prompt_homes::assess(
    const placement_call& call, const endpoint_standing& row, bool isHome, time_point now) const
{
    candidate assessed { .row = &row, .toRead = call.prompt.promptTokens };
    const auto beginning = beginningOf(call.prompt);
    const bool isKept = beginning && (isHome || keeps(row.endpoint, *beginning, now));
    const auto shared = call.prompt.sharedTokens();
    if (isKept)
        assessed.toRead -= std::min(shared, assessed.toRead);
    assessed.wait = timeToRead(row, row.toReadInAll());
    if (!isKept)
        assessed.wait += timeToRead(row, shared);
    assessed.readBy = timeToRead(row, row.toReadInAll() + assessed.toRead);
    return assessed;
}

bool prompt_homes::keeps(const endpoint_id& endpoint, prompt_part_id beginning, time_point now) const
{
    const auto kept = m_keptUntil.find(endpoint);
    if (kept == m_keptUntil.end())
        return false;
    const auto until = kept->second.find(beginning);
    return until != kept->second.end() && now < until->second;
}

} // namespace kumquatbeam
