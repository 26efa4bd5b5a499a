#include "kumquatbeam/sessions/write_queue.hpp"

namespace kumquatbeam {

bool write_queue::push(outgoing_bytes item)
{
    m_held.value += item.bytes.capacity();
    m_items.push_back(std::move(item));
    return m_items.size() == 1;
}

outgoing_bytes::framing write_queue::pop()
{
    const auto framing = m_items.front().as;
    m_held.value -= m_items.front().bytes.capacity();
    m_items.pop_front();
    return framing;
}

} // namespace kumquatbeam
