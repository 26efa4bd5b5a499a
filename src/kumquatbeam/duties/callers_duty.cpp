#include "kumquatbeam/duties/callers_duty.hpp"

#include "kumquatbeam/duties/listen.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/sessions/connect.hpp"
#include "kumquatbeam/types/event_handlers.hpp"

#include <algorithm>
#include <utility>
#include <vector>

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

    /// Part of the memory for requests that those in progress may hold, which are not dropped. The rest is for requests
    /// that are being read, and for small ones.
    constexpr double inProgressFraction = 0.75;

    /// Bodies of the largest size that the memory for requests holds at least, so that a single one is always served:
    /// one in progress, held twice, in the part for requests in progress, and one that is being read.
    constexpr std::uint64_t leastBodies = 4;

    /// Waiting connections that are tried for a new caller; some may be about to begin a request or have just got a
    /// reply.
    constexpr int closeTries = 8;

    /// Connections above the caller limit, for the load balancer's checks and while no connection can be closed.
    constexpr std::size_t spareConnections = 8;

    constexpr std::chrono::seconds dropReportPeriod { 1 };

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
    , m_memory({}, rankBySizeAndTime)
{
    auto limits = m_limits;
    limits.body = { static_cast<std::uint64_t>(settings.bodyLimit) };
    setLimits(limits);
}

absl::Status callers_duty::listen()
{
    if (m_settings.readinessPort != 0) {
        auto status = listenOn(m_readinessAcceptor, m_settings.callerAddress, m_settings.readinessPort);
        if (!status.ok())
            return status;
    }
    return listenOn(m_acceptor, m_settings.callerAddress, m_settings.callerPort,
        { static_cast<std::uint64_t>(m_settings.callerReceiveBuffer) });
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

void callers_duty::recordHeldBytes(caller_session& session, byte_count fixed, byte_count droppable)
{
    const auto now = clock::now();
    m_memory.record(&session, fixed, droppable, now);
    while (const auto owner = m_memory.ownerToDrop(now)) {
        m_memory.release(*owner);
        const auto found = m_sessions.find(*owner);
        const auto dropped = found == m_sessions.end() ? nullptr : found->second.lock();
        if (!dropped)
            continue;
        dropped->dropForMemory();
        reportDrop(failure_kind::MemoryShort);
    }
    if (m_links.callerResources)
        m_links.callerResources->heldBytes = m_memory.held().value;
}

bool callers_duty::canPassOn(byte_count held)
{
    // The rest of the memory suffices for the highest number of small requests, so large ones never shut them out.
    const auto small = (1 - inProgressFraction) * static_cast<double>(m_memory.limit().value)
        / static_cast<double>(m_settings.requestLimit);
    if (static_cast<double>(held.value) <= small || m_memory.canFix(held, inProgressFraction))
        return true;
    reportDrop(failure_kind::MemoryShort);
    return false;
}

void callers_duty::recordWaiting(caller_session& session, bool isWaiting)
{
    if (!isWaiting) {
        m_waiting.end(&session);
        return;
    }
    m_waiting.begin(&session);
    if (m_isAcceptPaused && canAcceptCaller())
        resumeAccepting();
}

void callers_duty::onConnectionClosed(caller_session& session)
{
    m_sessions.erase(&session);
    m_waiting.end(&session);
    m_memory.release(&session);
    resumeAccepting();
    reportWhenFinished();
}

void callers_duty::resumeAccepting()
{
    if (m_acceptor.is_open() && std::exchange(m_isAcceptPaused, false))
        accept(m_acceptor);
}

bool callers_duty::closeLongestWaiting()
{
    const auto now = clock::now();
    std::vector<caller_session*> candidates;
    for (auto* key : m_waiting.longestFirst()) {
        candidates.push_back(key);
        if (candidates.size() == closeTries)
            break;
    }
    for (auto* key : candidates) {
        const auto found = m_sessions.find(key);
        const auto session = found == m_sessions.end() ? nullptr : found->second.lock();
        if (!session) {
            m_waiting.end(key);
            continue;
        }
        if (!session->closeIfWaiting(now))
            continue;
        reportDrop(failure_kind::ConnectionsExhausted);
        return true;
    }
    return false;
}

void callers_duty::setLimits(const caller_limits& limits)
{
    m_limits = limits;
    m_memory.setLimit(
        { std::max(static_cast<std::uint64_t>(m_settings.requestMemoryLimit), leastBodies * limits.body.value) });
}

void callers_duty::reportDrop(failure_kind cause)
{
    auto& unreported = m_unreportedDrops[cause];
    unreported.part = "callers";
    unreported.cause = cause;
    ++unreported.count;
    if (m_links.callerResources)
        ++(cause == failure_kind::MemoryShort ? m_links.callerResources->droppedForMemory
                                              : m_links.callerResources->droppedForConnections);
    const auto now = clock::now();
    if (now < m_dropsReportedAt + dropReportPeriod)
        return;
    m_dropsReportedAt = now;
    // Drops that a full ring does not report are counted by the counters.
    for (const auto& [kind, dropped] : std::exchange(m_unreportedDrops, {}))
        static_cast<void>(m_links.decisions->tryPost(dropped));
}

bool callers_duty::canAcceptCaller()
{
    const auto limit = static_cast<std::size_t>(m_settings.callerLimit);
    if (m_sessions.size() >= limit)
        std::erase_if(m_sessions, [](const auto& entry) { return entry.second.expired(); });
    // A connection that waits makes room for a new caller once there is one.
    return m_sessions.size() < limit || (m_sessions.size() < limit + spareConnections && !m_waiting.isEmpty());
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
    const auto limit = static_cast<std::size_t>(m_settings.callerLimit);
    while (m_sessions.size() >= limit && closeLongestWaiting()) { }
    if (m_sessions.size() >= limit + spareConnections) {
        reportDrop(failure_kind::ConnectionsExhausted);
        return;
    }
    setConnectionOptions(socket, unacknowledgedTimeout);
    const auto session = std::make_shared<caller_session>(std::move(socket), *this);
    // The address may be that of a session that ended without a call of `onConnectionClosed`.
    m_memory.release(session.get());
    m_sessions.insert_or_assign(session.get(), session);
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
        [&](set_caller_limits&& changed) { setLimits(changed.limits); },
        [&](begin_drain&&) { m_isDraining = true; },
        [&](stop_accepting&&) { stopAccepting(); },
        [&](end_requests&& ended) { endRequests(ended.reply); },
        [&](close_caller_connections&&) { finish(); },
    };
    std::visit(handlers, std::move(command));
}

} // namespace kumquatbeam
