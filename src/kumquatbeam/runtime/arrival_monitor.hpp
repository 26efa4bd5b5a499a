#pragma once

#include "kumquatbeam/runtime/arrival_clock.hpp"
#include "kumquatbeam/types/arrival_bounds.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include <boost/asio/io_context.hpp>

namespace kumquatbeam {

/// Ticks an arrival clock on a duty's thread.
class arrival_monitor {
public:
    explicit arrival_monitor(boost::asio::io_context& context)
        : m_timer(context)
        , m_arrivals(clock::now())
    {
    }

    /// Starts the ticks. Call it on the duty's thread or before that thread runs.
    void start()
    {
        m_arrivals.tick(clock::now());
        m_timer.expires_after(pauseTickPeriod);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                start();
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
    deadline_timer m_timer;
    arrival_clock m_arrivals;
};

} // namespace kumquatbeam
