#include "kumquatbeam/duties/endpoints_duty.hpp"

#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/types/event_handlers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Period of the check for expired idle connections. Shorter than any idle timeout that an endpoint can state.
    constexpr std::chrono::milliseconds sweepPeriod { 500 };

} // namespace

endpoints_duty::endpoints_duty(const router_settings& settings, incarnation_id incarnation,
    const endpoint_dialect& dialect, duty_thread& trafficThread, duty_links& links)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_dialect(dialect)
    , m_links(links)
    , m_duty(trafficThread, endpointsRing(settings))
    , m_answerMemory({ static_cast<std::uint64_t>(settings.answerMemoryLimit) })
    , m_sweepTimer(trafficThread.context())
{
}

void endpoints_duty::start()
{
    m_duty.start([this](endpoint_command command) { handle(std::move(command)); });
}

void endpoints_duty::relay(caller_command command)
{
    m_links.callers->post(std::move(command));
}

void endpoints_duty::finish(attempt_ended ended)
{
    m_attempts.erase(ended.id);
    m_links.decisions->post(std::move(ended));
}

void endpoints_duty::notice(endpoint_noticed noticed)
{
    // A notice that a full ring drops comes again with the endpoint's next answer.
    static_cast<void>(m_links.decisions->tryPost(std::move(noticed)));
}

void endpoints_duty::recordHeldBytes(request_id id, byte_count held)
{
    if (held.value == 0) {
        m_answerMemory.release(id);
        return;
    }
    const auto largest = m_answerMemory.record(id, held);
    const auto found = largest ? m_attempts.find(*largest) : m_attempts.end();
    if (found == m_attempts.end())
        return;
    const auto session = found->second;
    session->giveUpAnswer();
}

std::shared_ptr<endpoint_connection> endpoints_duty::takeConnection(const start_attempt& attempt)
{
    return m_connections.take(attempt.to, attempt.needsFreshConnection, clock::now());
}

void endpoints_duty::keepConnection(std::shared_ptr<endpoint_connection> connection, const keep_alive_policy& policy)
{
    m_connections.put(std::move(connection), policy.idleTimeout, clock::now());
    limitIdleConnections();
    if (!std::exchange(m_isSweeping, true))
        sweepConnections();
}

void endpoints_duty::sweepConnections()
{
    m_connections.closeExpired(clock::now());
    m_isSweeping = !m_connections.isEmpty();
    if (!m_isSweeping)
        return;
    m_sweepTimer.expires_after(sweepPeriod);
    m_sweepTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            sweepConnections();
    });
}

std::string endpoints_duty::streamIdOf(request_id id) const
{
    return absl::StrCat(m_settings.self.value, ".", absl::Hex(m_incarnation.value), ".", id.value);
}

void endpoints_duty::handle(endpoint_command command)
{
    const auto withSession = [this](request_id id, auto action) {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end())
            return;
        const auto session = found->second;
        action(*session);
    };
    const event_handlers handlers {
        [&](start_attempt&& attempt) { startAttempt(std::move(attempt)); },
        [&](cancel_attempt&& cancelled) {
            withSession(cancelled.id, [](endpoint_session& session) { session.cancel(); });
        },
        [&](chunk_consumed&& consumed) {
            withSession(consumed.id, [](endpoint_session& session) { session.onChunkConsumed(); });
        },
        [&](probe_endpoints&& watched) { updateProbes(watched); },
        [&](set_allowed_endpoints&& kept) { allowOnly(kept.endpoints); },
    };
    std::visit(handlers, std::move(command));
}

void endpoints_duty::startAttempt(start_attempt attempt)
{
    const auto id = attempt.id;
    if (m_attempts.size() >= static_cast<std::size_t>(m_settings.endpointConnectionLimit)) {
        // Another router may have connections left, so the endpoint is not at fault.
        m_links.decisions->post(attempt_ended { .id = id,
            .endpoint = attempt.to.endpoint,
            .problem = failure { failure_kind::ConnectionsExhausted },
            .relayedBytes = attempt.resumeAt,
            .lastEvent = attempt.resumeAfter });
        return;
    }
    const auto session = std::make_shared<endpoint_session>(m_duty.context(), *this, std::move(attempt));
    m_attempts.emplace(id, session);
    session->start();
    limitIdleConnections();
}

void endpoints_duty::limitIdleConnections()
{
    const auto limit = static_cast<std::size_t>(m_settings.endpointConnectionLimit);
    m_connections.keepAtMost(limit - std::min(limit, m_attempts.size()));
}

void endpoints_duty::allowOnly(const std::vector<endpoint_address>& endpoints)
{
    m_connections.keepOnly(endpoints);
    std::vector<std::shared_ptr<endpoint_session>> withdrawn;
    for (const auto& [id, session] : m_attempts) {
        if (session->isUnsent()
            && std::find(endpoints.begin(), endpoints.end(), session->endpoint()) == endpoints.end())
            withdrawn.push_back(session);
    }
    for (const auto& session : withdrawn)
        session->withdraw();
}

void endpoints_duty::updateProbes(const probe_endpoints& watched)
{
    std::map<endpoint_id, std::shared_ptr<load_probe>> probes;
    for (const auto& endpoint : watched.endpoints) {
        const auto known = m_probes.find(endpoint.endpoint);
        if (known != m_probes.end() && known->second->probesAddress(endpoint)) {
            probes.insert(m_probes.extract(known));
            continue;
        }
        const auto probe = std::make_shared<load_probe>(
            m_duty.context(), m_settings.sourceAddress, endpoint, [this](load_observed observed) {
                // A full ring drops the observation; the next probe replaces it.
                static_cast<void>(m_links.decisions->tryPost(std::move(observed)));
            });
        probe->start();
        probes.emplace(endpoint.endpoint, probe);
    }
    for (const auto& [id, probe] : m_probes)
        probe->stop();
    m_probes = std::move(probes);
}

} // namespace kumquatbeam
