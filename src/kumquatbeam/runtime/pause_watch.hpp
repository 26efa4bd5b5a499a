#pragma once

#include "kumquatbeam/runtime/pause_detector.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace kumquatbeam {

/// Ticks a pause detector on a duty's own thread.
class pause_watch {
public:
    explicit pause_watch(boost::asio::io_context& context)
        : m_timer(context)
        , m_detector(clock::now())
    {
    }

    /// Starts to tick; on the duty's thread or before it runs.
    void start()
    {
        m_detector.tick(clock::now());
        m_timer.expires_after(pauseTickPeriod);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                start();
        });
    }

    /// The time after which bytes that are read now have arrived.
    time_point earliestArrival() { return m_detector.earliestArrival(clock::now()); }

private:
    boost::asio::steady_timer m_timer;
    pause_detector m_detector;
};

} // namespace kumquatbeam
