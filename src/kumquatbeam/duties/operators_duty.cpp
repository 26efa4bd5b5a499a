#include "kumquatbeam/duties/operators_duty.hpp"

#include "kumquatbeam/codec/metrics_text.hpp"
#include "kumquatbeam/codec/status_json.hpp"
#include "kumquatbeam/duties/listen.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/types/event_handlers.hpp"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    /// Connections of operators: several tools and people at once, each with one query. The connections' buffers and
    /// responses take the router's memory.
    constexpr std::size_t operatorLimit = 16;

    constexpr std::chrono::seconds dropReportPeriod { 1 };

} // namespace

operators_duty::operators_duty(const router_settings& settings, duty_links& links, callbacks signalCallbacks)
    : m_settings(settings)
    , m_links(links)
    , m_callbacks(std::move(signalCallbacks))
    , m_duty("operators", operatorsRing())
    , m_acceptor(m_duty.context())
    , m_signals(m_duty.context(), SIGTERM, SIGINT, SIGHUP)
{
}

absl::Status operators_duty::listen()
{
    return listenOn(m_acceptor, m_settings.operatorAddress, m_settings.operatorPort);
}

void operators_duty::start()
{
    awaitSignal();
    accept();
    m_duty.start([this](operator_command command) { handle(std::move(command)); });
}

void operators_duty::handle(
    const std::shared_ptr<operator_session>& session, http::verb method, const std::string& target)
{
    if (const auto* format = formatFor(target); format && method == http::verb::get) {
        const request_id query { ++m_lastQuery };
        if (!m_links.decisions->tryPost(status_requested { query })) {
            session->respond(http::status::service_unavailable, "text/plain", "overloaded\n");
            return;
        }
        m_queries.emplace(query, pending_query { session, format });
        return;
    }
    if (method == http::verb::post && target == "/drain") {
        m_links.decisions->post(shutdown_requested {});
        session->respond(http::status::accepted, "text/plain", "draining\n");
        return;
    }
    session->respond(http::status::not_found, "text/plain", "GET /status, GET /metrics or POST /drain\n");
}

const operators_duty::query_format* operators_duty::formatFor(std::string_view target)
{
    static constexpr query_format formats[] = {
        { "/status", "application/json", encodeStatus },
        { "/metrics", "text/plain; version=0.0.4", encodeMetrics },
    };
    const auto* found = std::find_if(std::begin(formats), std::end(formats),
        [target](const query_format& candidate) { return candidate.target == target; });
    return found == std::end(formats) ? nullptr : found;
}

void operators_duty::answer(status_reply reply)
{
    auto& report = reply.report;
    report.controlBytesSent = m_links.controlTraffic->bytesSent;
    report.controlFramesSent = m_links.controlTraffic->framesSent;
    report.controlBytesReceived = m_links.controlTraffic->bytesReceived;
    report.callerHeldBytes = m_links.callerResources->heldBytes;
    report.callersDroppedForMemory = m_links.callerResources->droppedForMemory;
    report.callersDroppedForConnections = m_links.callerResources->droppedForConnections;
    report.rings = { { "decisions", m_links.decisions->refused() }, { "callers", m_links.callers->refused() },
        { "endpoints", m_links.endpoints->refused() }, { "peers", m_links.peers->refused() },
        { "operators", m_links.operators->refused() } };
    const auto query = m_queries.extract(reply.query);
    if (query.empty())
        return;
    const auto& [session, format] = query.mapped();
    session->respond(http::status::ok, std::string(format->contentType), format->encode(report));
}

void operators_duty::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            runContained("operators", [&] { startSession(std::move(socket)); });
        accept();
    });
}

void operators_duty::startSession(asio::ip::tcp::socket socket)
{
    if (m_sessions.longestFirst().size() >= operatorLimit) {
        // A session without a pending operation would be gone, so the oldest one is still alive. Its handlers end it.
        auto* oldest = m_sessions.longestFirst().front();
        m_sessions.end(oldest);
        oldest->close();
        reportDrop();
    }
    const auto session = std::make_shared<operator_session>(std::move(socket), *this);
    m_sessions.begin(session.get());
    session->start();
}

void operators_duty::reportDrop()
{
    ++m_dropped.count;
    const auto now = clock::now();
    if (now < m_dropsReportedAt + dropReportPeriod)
        return;
    m_dropsReportedAt = now;
    if (m_links.decisions->tryPost(m_dropped))
        m_dropped.count = 0;
}

void operators_duty::onEnded(operator_session& session)
{
    m_sessions.end(&session);
}

void operators_duty::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int number) {
        if (error)
            return;
        handleSignal(number);
        awaitSignal();
    });
}

void operators_duty::handleSignal(int number)
{
    if (number == SIGHUP) {
        if (m_callbacks.onReload)
            m_callbacks.onReload();
    } else if (std::exchange(m_hasShutdownSignal, true) && number == SIGINT) {
        endProcess(exit_reason::Interrupted);
    } else {
        // A supervisor may repeat SIGTERM, so it never ends the process before the requests in progress.
        m_links.decisions->post(shutdown_requested {});
    }
}

void operators_duty::endProcess(exit_reason reason)
{
    if (!std::exchange(m_hasEnded, true))
        m_callbacks.onExit(reason);
}

void operators_duty::handle(operator_command command)
{
    const event_handlers handlers {
        [&](status_reply&& reply) { answer(std::move(reply)); },
        [&](finish_process&&) { endProcess(exit_reason::Finished); },
    };
    std::visit(handlers, std::move(command));
}

} // namespace kumquatbeam
