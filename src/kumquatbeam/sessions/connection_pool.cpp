#include "kumquatbeam/sessions/connection_pool.hpp"

#include "kumquatbeam/sessions/connect.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Fraction of the endpoint's idle timeout for which a connection is kept, so that the router closes it first.
    constexpr double idleTimeoutFraction = 0.7;

} // namespace

std::shared_ptr<endpoint_connection> connection_pool::take(const endpoint_address& to, bool mustBeFresh, time_point now)
{
    const auto found = m_idle.find(to.endpoint);
    if (found == m_idle.end())
        return nullptr;
    auto& connections = found->second;
    std::shared_ptr<endpoint_connection> acquired;
    while (!connections.empty() && !acquired) {
        auto candidate = connections.back();
        const bool isUsable
            = candidate->to == to && now < candidate->expiresAt && !hasUnexpectedInput(candidate->socket);
        const bool isFresh = now < candidate->idleSince + freshnessWindow;
        if (isUsable && mustBeFresh && !isFresh)
            break;
        connections.pop_back();
        if (isUsable)
            acquired = std::move(candidate);
    }
    if (connections.empty())
        m_idle.erase(found);
    if (acquired)
        acquired->idleSince = never;
    return acquired;
}

void connection_pool::put(
    std::shared_ptr<endpoint_connection> connection, std::optional<std::chrono::seconds> idleTimeout, time_point now)
{
    connection->idleSince = now;
    const auto limit = idleTimeout.value_or(defaultIdleTimeout);
    connection->expiresAt = now + std::chrono::duration_cast<clock::duration>(limit * idleTimeoutFraction);
    auto& connections = m_idle[connection->to.endpoint];
    connections.push_back(std::move(connection));
    if (connections.size() > idleConnectionLimit)
        connections.pop_front();
}

void connection_pool::keepOnly(const std::vector<endpoint_address>& endpoints)
{
    std::erase_if(m_idle, [&](const auto& entry) {
        return std::none_of(endpoints.begin(), endpoints.end(),
            [&](const endpoint_address& kept) { return kept == entry.second.front()->to; });
    });
}

void connection_pool::keepAtMost(std::size_t limit)
{
    std::size_t count = 0;
    for (const auto& [endpoint, connections] : m_idle)
        count += connections.size();
    for (; count > limit; --count) {
        // The connections to one endpoint are in the order in which they became idle.
        const auto oldest = std::min_element(m_idle.begin(), m_idle.end(), [](const auto& first, const auto& second) {
            return first.second.front()->idleSince < second.second.front()->idleSince;
        });
        oldest->second.pop_front();
        if (oldest->second.empty())
            m_idle.erase(oldest);
    }
}

void connection_pool::closeExpired(time_point now)
{
    for (auto& [endpoint, connections] : m_idle) {
        std::erase_if(connections, [&](const auto& connection) {
            return now >= connection->expiresAt || hasUnexpectedInput(connection->socket);
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace kumquatbeam
