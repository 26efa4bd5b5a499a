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

    /// Ranks engines for a beginning: the same way at every router, and each beginning in another order.
    std::uint64_t rankOf(const endpoint_standing& row, std::optional<prompt_part_id> beginning)
    {
        return mixed(row.key.value ^ mixed(beginning.value_or(prompt_part_id {}).value));
    }

    std::chrono::duration<double, std::micro> transferTimeOf(const engine_traits& traits)
    {
        constexpr double bitsPerByte = 8;
        if (traits.linkMegabitsPerSecond <= 0)
            return {};
        return std::chrono::duration<double, std::micro>(
            static_cast<double>(traits.tokenBytes.value) * bitsPerByte / traits.linkMegabitsPerSecond);
    }

} // namespace

prompt_homes::prompt_homes(const engine_traits& traits)
    : m_transferTime(transferTimeOf(traits))
{
}

std::optional<placement> prompt_homes::place(
    const placement_call& call, std::span<const endpoint_standing> endpoints, time_point now) const
{
    std::vector<candidate> candidates;
    for (const auto& row : endpoints) {
        if (row.isUsable)
            candidates.push_back({ &row, rankOf(row, beginningOf(call.prompt)) });
    }
    if (candidates.empty())
        return std::nullopt;
    return call.prompt.sharedTokens() >= longBeginning ? placeAtHome(call, std::move(candidates), now)
                                                       : placeAnywhere(call, std::move(candidates), now);
}

std::optional<placement> prompt_homes::placeAtHome(
    const placement_call& call, std::vector<candidate> candidates, time_point now) const
{
    const auto kept = std::min(homeCount, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.score > right.score; });
    candidates.resize(kept);
    for (auto& one : candidates)
        assess(call, one, candidates.front(), now);
    const auto& home = candidates.front();
    const auto best = std::min_element(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.readBy < right.readBy; });
    const bool staysHome = home.wait <= call.waitLimit && home.readBy <= best->readBy + spillMargin;
    const auto& chosen = staysHome ? home : *best;
    if (chosen.wait > call.waitLimit)
        return std::nullopt;
    placement choice { .endpoint = chosen.row->endpoint, .toRead = chosen.toRead, .wait = chosen.wait };
    if (chosen.isFetched)
        choice.fetchFrom = home.row->endpoint;
    choice.reason = &chosen == &home ? "home of its beginning" : "home is busy";
    if (best != candidates.begin()) {
        choice.runnerUp = staysHome ? best->row->endpoint : home.row->endpoint;
        choice.runnerUpReason = staysHome ? "reads it hardly sooner" : "reads it later";
    }
    return choice;
}

std::optional<placement> prompt_homes::placeAnywhere(
    const placement_call& call, std::vector<candidate> candidates, time_point now) const
{
    for (auto& one : candidates)
        assess(call, one, one, now);
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.readBy < right.readBy; });
    const auto& best = candidates.front();
    if (best.wait > call.waitLimit)
        return std::nullopt;
    placement choice { .endpoint = best.row->endpoint, .toRead = best.toRead, .wait = best.wait };
    choice.reason = "engine that reads it first";
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

void prompt_homes::assess(const placement_call& call, candidate& one, const candidate& home, time_point now) const
{
    const auto& row = *one.row;
    const auto shared = std::min(call.prompt.sharedTokens(), call.prompt.promptTokens);
    const bool isLong = shared >= longBeginning;
    const bool isHome = isLong && &one == &home;
    const auto beginning = beginningOf(call.prompt);
    const bool isKept = isHome || (beginning && keeps(row.endpoint, *beginning, now));
    one.isFetched = !isKept && isLong && m_transferTime.count() > 0;
    one.toRead = call.prompt.promptTokens;
    if (isKept || one.isFetched)
        one.toRead -= shared;
    one.wait = timeToRead(row, row.toReadInAll());
    if (one.isFetched)
        one.wait += std::chrono::duration_cast<std::chrono::microseconds>(
            m_transferTime * static_cast<double>(shared.value));
    else if (!isKept)
        one.wait += timeToRead(row, shared);
    const auto own = isKept || one.isFetched ? one.toRead : one.toRead - shared;
    one.readBy = one.wait + timeToRead(row, own);
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
