#pragma once

#include "kumquatbeam/runtime/arrival_clock.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/types/arrival_bounds.hpp"

#include <boost/asio/io_context.hpp>

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
    /// After a pause, runs the handlers that are ready until there are none. Then all bytes that had arrived were read.
    void catchUp()
    {
        if (m_isCatchingUp || !m_arrivals.isRecovering(clock::now()))
            return;
        m_isCatchingUp = true;
        const bool hasCaughtUp = runContained("arrivals", [this] { m_context.poll(); });
        m_isCatchingUp = false;
        if (hasCaughtUp)
            m_arrivals.caughtUp(clock::now());
    }

    boost::asio::io_context& m_context;
    deadline_timer m_timer;
    arrival_clock m_arrivals;
    bool m_isCatchingUp = false;
};

} // namespace kumquatbeam
