#include "kumquatbeam/sessions/answer_memory.hpp"

#include <algorithm>

namespace kumquatbeam {

answer_memory::answer_memory(byte_count limit)
    : m_limit(limit)
{
}

std::optional<request_id> answer_memory::record(request_id id, byte_count held)
{
    auto& known = m_held[id];
    m_total += held;
    m_total -= known;
    known = held;
    if (m_total <= m_limit)
        return std::nullopt;
    return std::max_element(m_held.begin(), m_held.end(), [](const auto& first, const auto& second) {
        return first.second < second.second;
    })->first;
}

void answer_memory::release(request_id id)
{
    const auto found = m_held.find(id);
    if (found == m_held.end())
        return;
    m_total -= found->second;
    m_held.erase(found);
}

} // namespace kumquatbeam
