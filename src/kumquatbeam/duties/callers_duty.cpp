#include "kumquatbeam/duties/callers_duty.hpp"

#include "kumquatbeam/duties/listen.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/sessions/connect.hpp"
#include "kumquatbeam/types/event_handlers.hpp"

#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;

namespace {

    /// Longest time for which a caller may leave bytes unacknowledged or its receive window closed.
    constexpr std::chrono::seconds unacknowledgedTimeout { 10 };

    /// Connections accepted in a row before other work of the thread gets its turn.
    constexpr int acceptBatchSize = 128;

    /// Fraction of the caller limit above which connections are closed after a reply. A refused caller retries on a new
    /// connection, and the old one would count towards the limit until its idle timeout.
    constexpr double nearLimitFraction = 0.5;

} // namespace

callers_duty::callers_duty(
    const router_settings& settings, const caller_dialect& dialect, duty_thread& trafficThread, duty_links& links)
    : m_settings(settings)
    , m_dialect(dialect)
    , m_links(links)
    , m_duty(trafficThread, callersRing(settings))
    , m_arrivals(m_duty.context())
    , m_acceptor(m_duty.context())
    , m_readinessAcceptor(m_duty.context())
{
    m_limits.body = { static_cast<std::uint64_t>(settings.bodyLimit) };
}

absl::Status callers_duty::listen()
{
    if (m_settings.readinessPort != 0) {
        auto status = listenOn(m_readinessAcceptor, m_settings.callerAddress, m_settings.readinessPort);
        if (!status.ok())
            return status;
    }
    return listenOn(m_acceptor, m_settings.callerAddress, m_settings.callerPort);
}

void callers_duty::start()
{
    for (auto* acceptor : { &m_acceptor, &m_readinessAcceptor }) {
        if (!acceptor->is_open())
            continue;
        acceptor->non_blocking(true);
        accept(*acceptor);
    }
    m_arrivals.start();
    m_duty.start([this](caller_command command) { handle(std::move(command)); });
}

std::optional<request_id> callers_duty::registerRequest(std::shared_ptr<caller_session> session)
{
    if (m_inProgress.size() >= static_cast<std::size_t>(m_settings.requestLimit))
        return std::nullopt;
    const request_id id { ++m_lastRequest };
    m_inProgress.emplace(id, std::move(session));
    return id;
}

void callers_duty::unregisterRequest(request_id id)
{
    m_inProgress.erase(id);
}

bool callers_duty::submit(request_id id, call_request call)
{
    // Load shedding: a request accepted while this duty is overloaded would reach an endpoint too late and delay all
    // others.
    if (m_arrivals.isOverloaded())
        return false;
    return m_links.decisions->tryPost(request_arrived { id, std::make_shared<const call_request>(std::move(call)) });
}

void callers_duty::abandon(request_id id)
{
    m_links.decisions->post(request_abandoned { id });
}

void callers_duty::acknowledgeChunk(request_id id)
{
    m_links.endpoints->post(chunk_consumed { id });
}

void callers_duty::onConnectionClosed(caller_session& session)
{
    m_sessions.erase(&session);
    if (m_acceptor.is_open() && std::exchange(m_isAcceptPaused, false))
        accept(m_acceptor);
    reportWhenFinished();
}

bool callers_duty::canAcceptCaller()
{
    const auto limit = static_cast<std::size_t>(m_settings.callerLimit);
    if (m_sessions.size() >= limit)
        std::erase_if(m_sessions, [](const auto& entry) { return entry.second.expired(); });
    return m_sessions.size() < limit;
}

bool callers_duty::isNearCallerLimit() const
{
    return static_cast<double>(m_sessions.size()) > nearLimitFraction * static_cast<double>(m_settings.callerLimit);
}

void callers_duty::accept(asio::ip::tcp::acceptor& acceptor)
{
    acceptor.async_accept([this, &acceptor](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            return;
        if (!error)
            runContained("callers", [&] {
                startSession(std::move(socket));
                acceptQueued(acceptor);
            });
        if (canAcceptCaller() || &acceptor == &m_readinessAcceptor)
            accept(acceptor);
        else
            m_isAcceptPaused = true;
    });
}

void callers_duty::acceptQueued(asio::ip::tcp::acceptor& acceptor)
{
    // One iteration of a busy event loop takes long; accepting one connection per iteration would make queued
    // callers wait for as many iterations.
    for (int accepted = 0; accepted < acceptBatchSize && canAcceptCaller(); ++accepted) {
        boost::system::error_code error;
        auto socket = acceptor.accept(error);
        if (error)
            return;
        startSession(std::move(socket));
    }
}

void callers_duty::startSession(asio::ip::tcp::socket socket)
{
    setConnectionOptions(socket, unacknowledgedTimeout);
    const auto session = std::make_shared<caller_session>(std::move(socket), *this);
    m_sessions.emplace(session.get(), session);
    session->start();
}

void callers_duty::stopAccepting()
{
    // Closing the listening socket resets the connections queued by the kernel, so they are accepted first and get a
    // refusal.
    boost::system::error_code error;
    while (!error) {
        auto socket = m_acceptor.accept(error);
        if (!error)
            startSession(std::move(socket));
    }
    m_acceptor.close(error);
}

void callers_duty::endRequests(const call_reply& reply)
{
    // A session may leave the requests in progress while it ends its own.
    const auto inProgress = m_inProgress;
    for (const auto& [id, session] : inProgress) {
        session->endRequest(reply);
        abandon(id);
    }
}

void callers_duty::finish()
{
    m_isFinishing = true;
    // A session whose operation ended in an exception is gone without a call of `onConnectionClosed`.
    std::erase_if(m_sessions, [](const auto& entry) { return entry.second.expired(); });
    const auto sessions = m_sessions;
    for (const auto& [key, weak] : sessions) {
        if (const auto session = weak.lock())
            session->closeIfIdle();
    }
    reportWhenFinished();
}

void callers_duty::reportWhenFinished()
{
    if (!m_isFinishing || m_hasReported || !m_sessions.empty())
        return;
    m_hasReported = true;
    m_links.decisions->post(caller_connections_closed {});
}

void callers_duty::handle(caller_command command)
{
    const auto deliver = [this](auto&& message) {
        const auto found = m_inProgress.find(message.id);
        if (found == m_inProgress.end())
            return;
        const auto session = found->second;
        session->deliver(std::forward<decltype(message)>(message));
    };
    const event_handlers handlers {
        [&](reply_to_caller&& reply) { deliver(std::move(reply)); },
        [&](answer_head&& head) {
            // Used only for metrics and estimates, so a full ring may drop it.
            static_cast<void>(m_links.decisions->tryPost(answer_begun { head.id, std::move(head.load) }));
            deliver(std::move(head));
        },
        [&](answer_chunk&& chunk) { deliver(std::move(chunk)); },
        [&](answer_end&& end) { deliver(end); },
        [&](set_ready&& ready) { m_isReady = ready.isReady; },
        [&](set_caller_limits&& changed) { m_limits = changed.limits; },
        [&](begin_drain&&) { m_isDraining = true; },
        [&](stop_accepting&&) { stopAccepting(); },
        [&](end_requests&& ended) { endRequests(ended.reply); },
        [&](close_caller_connections&&) { finish(); },
    };
    std::visit(handlers, std::move(command));
}

} // namespace kumquatbeam
