#pragma once

#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <unordered_map>

namespace kumquatbeam {

/// Bytes that are held for one owner.
struct held_bytes {
    /// Bytes that stay until their owner has finished.
    byte_count fixed {};
    /// Bytes that are freed if their owner is dropped.
    byte_count droppable {};
    /// Since when the owner has held droppable bytes.
    time_point since {};
};

/// Rank of an owner; the owner with the highest one is dropped first.
using drop_ranking = double (*)(const held_bytes&, time_point now);

/// Ranks by size, so that one that grows without end goes before the small ones beside it.
inline double rankBySize(const held_bytes& held, time_point)
{
    return static_cast<double>(held.droppable.value);
}

/// Ranks by size and time, so that a large request that has just arrived outlives one of its size that has stopped.
inline double rankBySizeAndTime(const held_bytes& held, time_point now)
{
    // Among owners that began at the same time, the size decides.
    constexpr std::chrono::duration<double> shortest { 0.001 };
    const std::chrono::duration<double> age = now - held.since;
    return static_cast<double>(held.droppable.value) * std::max(age, shortest).count();
}

/// Counts the bytes that are held for all owners together, and names the owner to drop when they are too many. A limit
/// for each owner is not enough: many owners within their limits would together exceed the memory of the process.
template <typename Id> class held_memory {
public:
    /// All owners together may hold `limit`.
    held_memory(byte_count limit, drop_ranking ranking)
        : m_limit(limit)
        , m_ranking(ranking)
    {
    }

    /// Records what is held for an owner now.
    void record(Id id, byte_count fixed, byte_count droppable, time_point now)
    {
        if (fixed.value == 0 && droppable.value == 0) {
            release(id);
            return;
        }
        auto& known = m_held[id];
        m_total += fixed + droppable;
        m_total -= known.fixed + known.droppable;
        m_fixed += fixed;
        m_fixed -= known.fixed;
        if (known.droppable.value == 0)
            known.since = now;
        known.fixed = fixed;
        known.droppable = droppable;
    }

    /// Forgets an owner.
    void release(Id id)
    {
        const auto found = m_held.find(id);
        if (found == m_held.end())
            return;
        m_total -= found->second.fixed + found->second.droppable;
        m_fixed -= found->second.fixed;
        m_held.erase(found);
    }

    /// The owner to drop if all of them hold too much; nothing if they do not, or if no bytes can be freed.
    std::optional<Id> ownerToDrop(time_point now) const
    {
        if (m_total <= m_limit)
            return std::nullopt;
        std::optional<Id> highest;
        double highestRank = 0;
        for (const auto& [id, held] : m_held) {
            const auto rank = held.droppable.value == 0 ? 0 : m_ranking(held, now);
            if (rank <= highestRank)
                continue;
            highest = id;
            highestRank = rank;
        }
        return highest;
    }

    /// Whether so many more bytes can be held as fixed ones within a part of the limit.
    bool canFix(byte_count more, double part) const
    {
        return static_cast<double>((m_fixed + more).value) <= part * static_cast<double>(m_limit.value);
    }

    void setLimit(byte_count limit) { m_limit = limit; }
    byte_count limit() const { return m_limit; }
    byte_count held() const { return m_total; }

private:
    byte_count m_limit;
    drop_ranking m_ranking;
    byte_count m_total {};
    byte_count m_fixed {};
    std::unordered_map<Id, held_bytes> m_held;
};

} // namespace kumquatbeam
