#pragma once

#include "kumquatbeam/types/invariant.hpp"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// Capacity of a ring in messages, and the part of it reserved for messages that must not be refused.
struct ring_limits {
    std::size_t capacity = 0;
    std::size_t reserved = 0;
};

/// A bounded queue of messages from any thread to one duty.
///
/// `tryPush` is for messages that the sender can refuse or drop when the duty is overloaded. `push` is for messages
/// whose number is bounded by the requests in progress: the reserved capacity is sized for them, so the ring always
/// has room for one.
template <typename Message> class bounded_ring {
public:
    explicit bounded_ring(ring_limits limits)
        : m_limits(limits)
        , m_messages(limits.capacity)
    {
        KUMQUATBEAM_INVARIANT(limits.reserved < limits.capacity);
    }

    /// Result of a push. `QueuedFirst` means that the ring was empty, so that its reader must be woken.
    enum class push_result {
        Refused,
        Queued,
        QueuedFirst,
    };

    /// Queues the message unless only reserved capacity is left.
    push_result tryPush(Message message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.size() >= m_limits.capacity - m_limits.reserved) {
            ++m_refused;
            return push_result::Refused;
        }
        return add(std::move(message));
    }

    /// Queues a message that may use the reserved capacity.
    push_result push(Message message)
    {
        const std::lock_guard lock(m_mutex);
        KUMQUATBEAM_INVARIANT(!m_messages.full());
        return add(std::move(message));
    }

    /// Appends all queued messages to `messages` and empties the ring.
    void drainInto(std::vector<Message>& messages)
    {
        const std::lock_guard lock(m_mutex);
        for (auto& message : m_messages)
            messages.push_back(std::move(message));
        m_messages.clear();
    }

    /// Number of messages that `tryPush` has refused so far.
    std::size_t refused() const
    {
        const std::lock_guard lock(m_mutex);
        return m_refused;
    }

private:
    push_result add(Message message)
    {
        m_messages.push_back(std::move(message));
        return m_messages.size() == 1 ? push_result::QueuedFirst : push_result::Queued;
    }

    ring_limits m_limits;
    mutable std::mutex m_mutex;
    boost::circular_buffer<Message> m_messages;
    std::size_t m_refused = 0;
};

} // namespace kumquatbeam
