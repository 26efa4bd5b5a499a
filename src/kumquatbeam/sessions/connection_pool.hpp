#pragma once

#include "kumquatbeam/sessions/endpoint_connection.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kumquatbeam {

/// Pool of idle connections to endpoints.
class connection_pool {
public:
    /// Maximum number of idle connections to one endpoint; the oldest is closed first.
    static constexpr std::size_t idleConnectionLimit = 32;

    /// Time after the last answer during which a connection may carry a call that must not be sent twice: an endpoint
    /// with persistent connections does not close one within this time.
    static constexpr std::chrono::milliseconds freshnessWindow { 800 };

    /// Idle timeout when the endpoint states none.
    static constexpr std::chrono::seconds defaultIdleTimeout { 4 };

    /// Takes the most recently used connection, or null. With `mustBeFresh`, only one used within `freshnessWindow`.
    std::shared_ptr<endpoint_connection> take(const endpoint_address&, bool mustBeFresh, time_point now);

    /// Adds a connection whose last answer is complete. The endpoint closes it after `idleTimeout`, if stated.
    void put(std::shared_ptr<endpoint_connection>, std::optional<std::chrono::seconds> idleTimeout, time_point now);

    /// Closes the connections to all other endpoints.
    void keepOnly(const std::vector<endpoint_address>&);

    /// Closes the connections that have been idle for too long.
    void closeExpired(time_point now);

    /// Closes the connections that have been idle for the longest time, until at most `limit` are left.
    void keepAtMost(std::size_t limit);

    bool isEmpty() const { return m_idle.empty(); }

private:
    std::map<endpoint_id, std::deque<std::shared_ptr<endpoint_connection>>> m_idle;
};

} // namespace kumquatbeam
