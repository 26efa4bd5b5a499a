#include "kumquatbeam/sessions/endpoint_session.hpp"

#include "kumquatbeam/codec/http_names.hpp"
#include "kumquatbeam/sessions/connect.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

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

} // namespace

endpoint_session::endpoint_session(asio::io_context& context, endpoint_host& host, start_attempt attempt)
    : m_host(host)
    , m_attempt(std::move(attempt))
    , m_stream(context)
    , m_relayed(m_attempt.resumeAt)
    , m_startedAt(clock::now())
{
}

void endpoint_session::start()
{
    const auto remote = openTowards(m_stream.socket(), m_host.sourceAddress(), m_attempt.to.address, m_attempt.to.port);
    if (!remote) {
        finishBroken(failure_kind::EndpointUnreachable);
        return;
    }
    m_request
        = encodeAttempt(*m_attempt.call, m_attempt.to.address, m_host.streamIdOf(m_attempt.id), m_attempt.resumeAt);
    m_stream.expires_at(m_attempt.deadline);
    m_stream.async_connect(
        *remote, [self = shared_from_this()](beast::error_code failed) { self->onConnected(failed); });
}

void endpoint_session::cancel()
{
    finish(m_hasSent ? attempt_outcome::Broken : attempt_outcome::NotSent, failure { failure_kind::CallerGone });
}

void endpoint_session::pieceConsumed()
{
    if (m_isFinished || !std::exchange(m_isPieceOut, false))
        return;
    readOn();
}

void endpoint_session::readOn()
{
    if (m_parser->is_done())
        finishWhole();
    else
        readPiece();
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
    if (m_stream.socket().available(error) > 0) {
        finishBroken(failure_kind::EndpointBroke);
        return;
    }
    // The process may have been paused since the decision; a lease that has ended meanwhile forbids the send.
    if (clock::now() >= m_attempt.sendBefore) {
        finishBroken(failure_kind::DeadlinePassed);
        return;
    }
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(m_attempt.deadline - clock::now());
    m_request.set(remainingField, std::to_string(remaining.count()));
    m_hasSent = true;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    http::async_write(m_stream, m_request,
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->onSent(failed); });
}

void endpoint_session::onSent(beast::error_code error)
{
    if (m_isFinished)
        return;
    if (error) {
        finishBroken(failureAfter(error));
        return;
    }
    readHead();
}

void endpoint_session::readHead()
{
    m_parser.emplace();
    // An answer is bounded piece by piece, not as a whole. Boost 1.74 takes an unset limit for zero.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(m_stream, m_buffer, *m_parser,
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
    if (head.result_int() < firstFinalStatus) {
        // An interim answer says nothing about the call; the final one follows.
        readHead();
        return;
    }
    if (head.result() == http::status::service_unavailable && head.count(notRunField) > 0) {
        finish(attempt_outcome::Refused, failure { failure_kind::EndpointRefused, m_attempt.to.endpoint.value });
        return;
    }
    if (head.result_int() < lowestFinalStatus && ++m_interimAnswers <= interimLimit) {
        readHead();
        return;
    }
    if (const auto fault = faultOfHead()) {
        finishBroken(*fault);
        return;
    }
    readOn();
}

std::optional<failure_kind> endpoint_session::faultOfHead() const
{
    const auto& head = m_parser->get();
    // Where only the end of the connection ends the answer, a short answer cannot be told from a whole one.
    if (head.result_int() < lowestFinalStatus || m_parser->need_eof())
        return failure_kind::EndpointBroke;
    // An endpoint that names the stream must name this one; anything else is an answer to another call.
    const auto stream = head.find(streamField);
    if (stream != head.end() && stream->value() != m_host.streamIdOf(m_attempt.id))
        return failure_kind::EndpointBroke;
    if (m_attempt.resumeAt.value == 0)
        return std::nullopt;
    // An endpoint that does not confirm the offset may have started from the beginning.
    const bool isConfirmed
        = head.result() == http::status::ok && head[resumedField] == std::to_string(m_attempt.resumeAt.value);
    return isConfirmed ? std::nullopt : std::optional(failure_kind::EndpointBroke);
}

void endpoint_session::relayHead()
{
    // The head waits for the first bytes of the body, so that an attempt that breaks before them leaves no trace.
    if (m_attempt.resumeAt.value > 0 || std::exchange(m_hasHeadGone, true))
        return;
    const auto& head = m_parser->get();
    const auto type = head[http::field::content_type];
    m_host.relay(
        answer_head { m_attempt.id, { static_cast<int>(head.result_int()) }, std::string(type.data(), type.size()) });
}

void endpoint_session::readPiece()
{
    auto& body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    http::async_read_some(m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code error, std::size_t read) { self->onPiece(error, read); });
}

void endpoint_session::onPiece(beast::error_code error, std::size_t)
{
    if (m_isFinished)
        return;
    if (error && error != http::error::need_buffer) {
        finishBroken(failureAfter(error));
        return;
    }
    const auto received = m_piece.size() - m_parser->get().body().size;
    if (m_attempt.isBuffered) {
        m_kept.append(m_piece.data(), received);
        if (m_kept.size() > m_host.bodyLimit())
            finishBroken(failure_kind::AnswerTooLarge);
        else
            readOn();
        return;
    }
    if (received == 0) {
        readOn();
        return;
    }
    relayHead();
    m_isPieceOut = true;
    m_relayed += byte_count { received };
    m_host.relay(answer_piece { m_attempt.id, std::string(m_piece.data(), received) });
}

void endpoint_session::finishWhole()
{
    if (!m_attempt.isBuffered) {
        relayHead();
        m_host.relay(answer_end { m_attempt.id });
    }
    finish(attempt_outcome::Completed, std::nullopt);
}

void endpoint_session::finishBroken(failure_kind kind)
{
    finish(
        m_hasSent ? attempt_outcome::Broken : attempt_outcome::NotSent, failure { kind, m_attempt.to.endpoint.value });
}

void endpoint_session::finish(attempt_outcome outcome, std::optional<failure> problem)
{
    if (std::exchange(m_isFinished, true))
        return;
    attempt_ended ended { .id = m_attempt.id,
        .endpoint = m_attempt.to.endpoint,
        .outcome = outcome,
        .problem = std::move(problem),
        .relayed = m_relayed };
    ended.cost = { std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - m_startedAt).count() };
    if (m_parser) {
        const auto& head = m_parser->get();
        const auto type = head[http::field::content_type];
        ended.status = { static_cast<int>(head.result_int()) };
        ended.contentType = std::string(type.data(), type.size());
    }
    ended.body = std::move(m_kept);
    m_stream.close();
    m_host.finish(std::move(ended));
}

failure_kind endpoint_session::failureAfter(beast::error_code error) const
{
    if (error == beast::error::timeout)
        return failure_kind::EndpointTimedOut;
    return m_hasSent ? failure_kind::EndpointBroke : failure_kind::EndpointUnreachable;
}

} // namespace kumquatbeam
