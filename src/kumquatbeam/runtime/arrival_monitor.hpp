#pragma once

#include "kumquatbeam/runtime/arrival_clock.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/types/arrival_bounds.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace kumquatbeam {

/// Ticks an arrival clock on a duty's thread.
class arrival_monitor {
public:
    explicit arrival_monitor(boost::asio::io_context& context)
        : m_context(context)
        , m_timer(context)
        , m_arrivals(clock::now())
    {
    }

    /// Starts the ticks. Call it on the duty's thread or before that thread runs.
    void start()
    {
        m_arrivals.tick(clock::now());
        m_timer.expires_after(pauseTickPeriod);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            start();
            catchUp();
        });
    }

    /// When bytes that are read now have arrived.
    arrival_bounds arrival()
    {
        const auto now = clock::now();
        return { m_arrivals.earliestArrival(now), now };
    }

    /// Whether the duty is overloaded.
    bool isOverloaded() const { return m_arrivals.isOverloaded(clock::now()); }

private:
    /// Passes of the event loop after which all that had arrived was read. Asio takes up to 128 ready sockets in a
    /// pass.
    static constexpr int passesToCatchUp = 8;

    void catchUp()
    {
        if (m_passesLeft > 0 || !m_arrivals.isRecovering(clock::now()))
            return;
        m_passesLeft = passesToCatchUp;
        awaitPass();
    }

    void awaitPass()
    {
        // The event loop looks for ready sockets before it runs what a handler has posted.
        boost::asio::post(m_context, [this] {
            if (--m_passesLeft > 0)
                awaitPass();
            else
                m_arrivals.caughtUp(clock::now());
        });
    }

    boost::asio::io_context& m_context;
    deadline_timer m_timer;
    arrival_clock m_arrivals;
    int m_passesLeft = 0;
};

} // namespace kumquatbeam
