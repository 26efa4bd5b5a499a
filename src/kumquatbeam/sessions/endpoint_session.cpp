#include "kumquatbeam/sessions/endpoint_session.hpp"

#include "kumquatbeam/sessions/connect.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    /// Statuses below this one announce that an answer is still to come.
    constexpr unsigned lowestFinalStatus = 200;

    /// Statuses from this one on report that the call did not succeed.
    constexpr unsigned lowestFailureStatus = 300;

} // namespace

endpoint_session::endpoint_session(asio::io_context& context, endpoint_session_delegate& host, start_attempt attempt)
    : m_host(host)
    , m_context(context)
    , m_attempt(std::move(attempt))
    , m_streamId(host.streamIdOf(m_attempt.id))
    , m_delivery(m_attempt.delivery)
    , m_limit(context)
    , m_events(m_attempt.resumeAfter)
    , m_relayed(m_attempt.resumeAt)
    , m_startedAt(clock::now())
{
}

void endpoint_session::start()
{
    m_request = m_host.dialect().encode(m_attempt, m_streamId);
    m_connection = m_host.takeConnection(m_attempt);
    if (m_connection) {
        limitUntil(m_attempt.deadline);
        send();
    } else {
        connect();
    }
}

void endpoint_session::cancel()
{
    finishBroken(failure_kind::CallerGone);
}

void endpoint_session::pieceConsumed()
{
    if (m_isFinished || !std::exchange(m_isPieceOut, false))
        return;
    readOn();
}

void endpoint_session::connect()
{
    m_connection = std::make_shared<endpoint_connection>(m_context, m_attempt.to);
    const auto remote
        = openClientSocket(m_connection->socket, m_host.sourceAddress(), m_attempt.to.address, m_attempt.to.port);
    if (!remote) {
        finishBroken(failure_kind::EndpointUnreachable);
        return;
    }
    limitUntil(std::min(m_attempt.deadline, m_startedAt + connectLimit));
    m_connection->socket.async_connect(
        *remote, [self = shared_from_this()](beast::error_code failed) { self->onConnected(failed); });
}

void endpoint_session::onConnected(beast::error_code error)
{
    if (m_isFinished)
        return;
    if (error) {
        finishBroken(failureAfter(error));
        return;
    }
    // An endpoint that speaks before it was asked answers something else: an earlier connection's call, or nothing.
    if (hasUnaskedInput(m_connection->socket)) {
        finishBroken(failure_kind::EndpointBroke);
        return;
    }
    setConnectionOptions(m_connection->socket, unacknowledgedTimeout);
    limitUntil(m_attempt.deadline);
    send();
}

void endpoint_session::send()
{
    // The process may have been paused since the decision; what allowed the send may have ended meanwhile.
    const auto now = clock::now();
    if (now >= m_attempt.sendBefore || now >= m_attempt.deadline) {
        finishBroken(failure_kind::DeadlinePassed);
        return;
    }
    m_host.dialect().setRemainingTime(
        m_request, std::chrono::floor<std::chrono::milliseconds>(m_attempt.deadline - now));
    m_hasSent = true;
    // An endpoint may answer before it has read the whole request, so the answer is read meanwhile. A failed write
    // shows in what is read.
    http::async_write(m_connection->socket, m_request,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->m_isRequestOut = !error; });
    readHead();
}

void endpoint_session::limitUntil(time_point limit)
{
    m_limit.expires_at(limit);
    m_limit.async_wait([self = shared_from_this()](beast::error_code error) {
        if (error || self->m_isFinished)
            return;
        self->m_isTimedOut = true;
        self->finishBroken(self->failureAfter({}));
    });
}

void endpoint_session::readHead()
{
    m_parser.emplace();
    // An answer is bounded piece by piece, not as a whole. Boost 1.74 takes an unset limit for zero.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(m_connection->socket, m_connection->buffer, *m_parser,
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->onHead(failed); });
}

void endpoint_session::onHead(beast::error_code error)
{
    if (m_isFinished)
        return;
    if (error) {
        finishBroken(failureAfter(error));
        return;
    }
    const auto& head = m_parser->get();
    if (head.result_int() < lowestFinalStatus) {
        // An interim answer says nothing about the call; the final one follows.
        if (++m_otherAnswers > otherAnswerLimit)
            finishBroken(failure_kind::EndpointBroke);
        else
            readHead();
        return;
    }
    takeHead();
}

void endpoint_session::takeHead()
{
    const auto& head = m_parser->get();
    const auto classification = m_host.dialect().classify(head, m_parser->need_eof(), m_attempt, m_streamId);
    switch (classification.answerClass) {
    case answer_class::Answer:
        if (m_delivery == answer_delivery::Events && head.result_int() >= lowestFailureStatus)
            m_delivery = answer_delivery::Buffered;
        readOn();
        break;
    case answer_class::NotRun:
        skipRefusal(classification.problem);
        break;
    case answer_class::OtherCall:
        skipForeign();
        break;
    case answer_class::Invalid:
        finishBroken(classification.problem);
        break;
    }
}

void endpoint_session::skipForeign()
{
    if (m_parser->need_eof() || ++m_otherAnswers > otherAnswerLimit) {
        finishBroken(failure_kind::EndpointMisanswered);
        return;
    }
    m_isSkipping = true;
    readOn();
}

void endpoint_session::skipRefusal(failure_kind kind)
{
    m_refusal = kind;
    // The rest of the answer is read only so that the connection can be kept.
    if (m_parser->need_eof()) {
        finishBroken(kind);
        return;
    }
    m_isSkipping = true;
    readOn();
}

void endpoint_session::readOn()
{
    if (!m_parser->is_done()) {
        readPiece();
        return;
    }
    const bool wasSkipping = std::exchange(m_isSkipping, false);
    if (m_refusal)
        finishBroken(*m_refusal);
    else if (wasSkipping)
        readHead();
    else
        finishWhole();
}

void endpoint_session::relayHead()
{
    // The head waits for the first bytes of the body, so that an attempt that breaks before them leaves no trace.
    if (m_attempt.resumeAt.value > 0 || m_attempt.resumeAfter || std::exchange(m_hasHeadGone, true))
        return;
    const auto& head = m_parser->get();
    const auto type = head[http::field::content_type];
    m_host.relay(answer_head { m_attempt.id, { static_cast<int>(head.result_int()) },
        std::string(type.data(), type.size()), m_host.dialect().forwardedFields(head) });
}

void endpoint_session::readPiece()
{
    auto& body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->onPiece(error); });
}

void endpoint_session::onPiece(beast::error_code error)
{
    if (m_isFinished)
        return;
    if (error && error != http::error::need_buffer) {
        finishBroken(failureAfter(error));
        return;
    }
    const auto received = m_piece.size() - m_parser->get().body().size;
    if (received == 0 || m_isSkipping)
        readOn();
    else
        takePiece({ m_piece.data(), received });
}

void endpoint_session::takePiece(std::string_view bytes)
{
    switch (m_delivery) {
    case answer_delivery::Buffered:
        m_kept.append(bytes);
        if (m_kept.size() > m_host.bodyLimit())
            finishBroken(failure_kind::AnswerTooLarge);
        else
            readOn();
        break;
    case answer_delivery::Chunks:
        relayPiece(std::string(bytes));
        break;
    case answer_delivery::Events:
        takeEvents(bytes);
        break;
    }
}

void endpoint_session::takeEvents(std::string_view bytes)
{
    m_events.append(bytes);
    auto whole = m_events.takeCompleteEvents();
    if (m_events.partialEventSize() > eventLimit)
        finishBroken(failure_kind::AnswerTooLarge);
    else if (whole.empty())
        readOn();
    else
        relayPiece(std::move(whole));
}

void endpoint_session::relayPiece(std::string bytes)
{
    relayHead();
    m_isPieceOut = true;
    m_relayed += byte_count { bytes.size() };
    m_host.relay(answer_chunk { m_attempt.id, std::move(bytes) });
}

void endpoint_session::finishWhole()
{
    if (m_delivery == answer_delivery::Events && m_events.hasPartialEvent()) {
        finishBroken(failure_kind::EndpointBroke);
        return;
    }
    if (isRelayed()) {
        relayHead();
        m_host.relay(answer_end { m_attempt.id });
    }
    finish(attempt_outcome::Completed, std::nullopt);
}

void endpoint_session::finishBroken(failure_kind kind)
{
    // A refusal stands, however the rest of it ends.
    const auto outcome = m_refusal ? attempt_outcome::Refused
        : m_hasSent                ? attempt_outcome::Broken
                                   : attempt_outcome::NotSent;
    finish(outcome, failure { m_refusal.value_or(kind), m_attempt.to.endpoint.value });
}

void endpoint_session::finish(attempt_outcome outcome, std::optional<failure> problem)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_limit.cancel();
    attempt_ended ended { .id = m_attempt.id,
        .endpoint = m_attempt.to.endpoint,
        .outcome = outcome,
        .problem = std::move(problem),
        .relayedBytes = m_relayed,
        .lastEvent = m_events.last(),
        .isRelayed = isRelayed() };
    ended.cost = { std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - m_startedAt).count() };
    if (m_parser && m_parser->is_header_done()) {
        const auto& head = m_parser->get();
        const auto type = head[http::field::content_type];
        ended.status = { static_cast<int>(head.result_int()) };
        ended.contentType = std::string(type.data(), type.size());
        ended.load = m_host.dialect().loadOf(head, m_attempt.to.endpoint);
        if (!isRelayed())
            ended.fields = m_host.dialect().forwardedFields(head);
    }
    ended.body = std::move(m_kept);
    releaseConnection(outcome == attempt_outcome::Completed || outcome == attempt_outcome::Refused);
    m_host.finish(std::move(ended));
}

void endpoint_session::releaseConnection(bool isWhole)
{
    if (!m_connection)
        return;
    const auto connection = std::exchange(m_connection, nullptr);
    const bool isClean = isWhole && m_isRequestOut && m_parser->is_done() && m_parser->keep_alive()
        && m_otherAnswers == 0 && connection->buffer.size() == 0;
    const auto policy = isClean ? m_host.dialect().keepAlivePolicyOf(m_parser->get()) : keep_alive_policy {};
    if (policy.isReusable) {
        m_host.keepConnection(connection, policy);
        return;
    }
    beast::error_code ignored;
    connection->socket.close(ignored);
}

failure_kind endpoint_session::failureAfter(beast::error_code error) const
{
    if (!m_hasSent)
        return failure_kind::EndpointUnreachable;
    if (m_isTimedOut || error == asio::error::timed_out)
        return failure_kind::EndpointTimedOut;
    return failure_kind::EndpointBroke;
}

} // namespace kumquatbeam
