#include "kumquatbeam/decisions/unwritten_entries.hpp"

#include "kumquatbeam/decisions/departed_endpoints.hpp"

#include <utility>

namespace kumquatbeam {

void unwritten_entries::begin(const endpoint_directory& restored, time_point dueAt)
{
    m_revisions = restored.revisions;
    postpone(dueAt);
}

void unwritten_entries::postpone(time_point dueAt)
{
    m_dueAt = dueAt;
    m_endsAt = dueAt + departed_endpoints::holdTime;
}

std::vector<endpoint_id> unwritten_entries::findGone(
    const endpoint_directory& directory, time_point readStartedAt, const endpoint_map& used)
{
    std::erase_if(m_revisions, [&](const auto& entry) {
        const auto found = directory.revisions.find(entry.first);
        return readStartedAt >= m_endsAt || found == directory.revisions.end() || found->second != entry.second;
    });
    if (m_revisions.empty() || readStartedAt < m_dueAt)
        return {};
    struct pool_entries {
        std::vector<endpoint_id> unwritten;
        std::size_t count = 0;
    };
    std::map<pool_id, pool_entries> pools;
    for (const auto& [id, endpoint] : used) {
        if (endpoint.isDraining || !directory.endpoints.contains(id))
            continue;
        auto& pool = pools[endpoint.pool];
        ++pool.count;
        if (m_revisions.contains(id))
            pool.unwritten.push_back(id);
    }
    std::vector<endpoint_id> gone;
    for (const auto& [id, pool] : pools) {
        if (2 * pool.unwritten.size() <= pool.count)
            gone.insert(gone.end(), pool.unwritten.begin(), pool.unwritten.end());
    }
    return gone;
}

} // namespace kumquatbeam
