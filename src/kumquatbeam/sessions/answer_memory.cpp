#include "kumquatbeam/sessions/answer_memory.hpp"

namespace kumquatbeam {

answer_memory::answer_memory(byte_count limit)
    : m_memory(limit, rankBySize)
{
}

std::optional<request_id> answer_memory::record(request_id id, byte_count held)
{
    const time_point now {};
    m_memory.record(id, {}, held, now);
    return m_memory.ownerToDrop(now);
}

void answer_memory::release(request_id id)
{
    m_memory.release(id);
}

} // namespace kumquatbeam
