#pragma once

#include "kumquatbeam/sessions/endpoint_connection.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kumquatbeam {

/// Idle connections to endpoints, kept for further calls.
class connection_pool {
public:
    /// Idle connections that are kept to one endpoint; the oldest is closed first.
    static constexpr std::size_t idleConnectionLimit = 32;

    /// Time after the last answer for which a connection is good enough for a call that must not be sent twice. Within
    /// it, an endpoint that keeps connections at all is not about to close this one.
    static constexpr std::chrono::milliseconds freshnessWindow { 800 };

    /// Idle time after which a connection is closed when the endpoint states no limit.
    static constexpr std::chrono::seconds defaultIdleTimeout { 4 };

    /// Takes the connection that was used last, or nothing. With `mustBeFresh`, only one that was used a moment ago.
    std::shared_ptr<endpoint_connection> take(const endpoint_address&, bool mustBeFresh, time_point now);

    /// Keeps a connection whose last answer has ended. The endpoint closes it after `idleTimeout`, if stated.
    void put(std::shared_ptr<endpoint_connection>, std::optional<std::chrono::seconds> idleTimeout, time_point now);

    /// Closes the connections to all endpoints but these.
    void keepOnly(const std::vector<endpoint_address>&);

    /// Closes the connections that have been idle for too long.
    void closeExpired(time_point now);

    bool isEmpty() const { return m_idle.empty(); }

private:
    std::map<endpoint_id, std::deque<std::shared_ptr<endpoint_connection>>> m_idle;
};

} // namespace kumquatbeam
