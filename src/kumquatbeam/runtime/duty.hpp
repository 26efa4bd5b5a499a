#pragma once

#include "kumquatbeam/runtime/bounded_ring.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/runtime/duty_thread.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// A duty: a thread with its own I/O context that processes messages from a ring. It sleeps in the kernel until a
/// message, a socket or a timer is ready. Several duties may share a thread.
template <typename Message> class duty {
public:
    using message_handler = std::function<void(Message)>;

    duty(std::string name, ring_limits limits)
        : m_ring(limits)
        , m_ownThread(std::make_unique<duty_thread>(std::move(name)))
        , m_thread(*m_ownThread)
    {
    }

    /// Runs on a shared thread, which its owner starts and stops.
    duty(duty_thread& thread, ring_limits limits)
        : m_ring(limits)
        , m_thread(thread)
    {
    }

    boost::asio::io_context& context() { return m_thread.context(); }

    /// Starts the duty's own thread, if it has one. The handler is called on the duty's thread for each message.
    void start(message_handler handler)
    {
        m_handler = std::move(handler);
        if (m_ownThread)
            m_ownThread->start();
    }

    /// Stops the duty's own thread after the current handler returns; messages in the ring are dropped.
    void stop()
    {
        if (m_ownThread)
            m_ownThread->stop();
    }

    /// Queues a message; returns false if the ring refuses it. Thread-safe.
    [[nodiscard]] bool tryPost(Message message)
    {
        const auto result = m_ring.tryPush(std::move(message));
        wakeIfFirst(result);
        return result != bounded_ring<Message>::push_result::Refused;
    }

    /// Queues a message that may use the reserved capacity. Thread-safe.
    void post(Message message) { wakeIfFirst(m_ring.push(std::move(message))); }

    std::size_t refused() const { return m_ring.refused(); }

private:
    void wakeIfFirst(typename bounded_ring<Message>::push_result result)
    {
        if (result == bounded_ring<Message>::push_result::QueuedFirst)
            boost::asio::post(context(), [this] { handleQueued(); });
    }

    void handleQueued()
    {
        m_ring.drainInto(m_batch);
        for (auto& message : m_batch)
            runContained(m_thread.name(), [&] { m_handler(std::move(message)); });
        m_batch.clear();
    }

    bounded_ring<Message> m_ring;
    message_handler m_handler;
    std::vector<Message> m_batch;
    std::unique_ptr<duty_thread> m_ownThread;
    duty_thread& m_thread;
};

} // namespace kumquatbeam
