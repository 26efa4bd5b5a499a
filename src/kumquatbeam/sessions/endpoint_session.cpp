#include "kumquatbeam/sessions/endpoint_session.hpp"

#include "kumquatbeam/sessions/endpoint_session_handler.hpp"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    /// @{ Statuses of HTTP (RFC 9110, section 15). The HTTP library accepts any three digits.
    constexpr unsigned lowestStatus = 100;
    constexpr unsigned highestStatus = 599;
    /// @}

    /// Lower statuses (1xx) are interim.
    constexpr unsigned lowestFinalStatus = 200;

    /// Whether an answer may have a body (RFC 9110, section 6.4.1), and therefore chunks.
    bool mayHaveBody(const http::response_header<>& head)
    {
        return head.result() != http::status::no_content && head.result() != http::status::not_modified;
    }

    /// Whether an answer can be an event stream. Endpoints may leave out the type.
    bool mayBeEventStream(const http::response_header<>& head)
    {
        const auto field = head[http::field::content_type];
        auto type = field.substr(0, field.find(';'));
        while (type.ends_with(' '))
            type.remove_suffix(1);
        return head.result() == http::status::ok && (type.empty() || beast::iequals(type, "text/event-stream"));
    }

} // namespace

endpoint_session::endpoint_session(
    asio::io_context& context, endpoint_session_delegate& delegate, start_attempt attempt)
    : m_delegate(delegate)
    , m_context(context)
    , m_attempt(std::move(attempt))
    , m_streamId(delegate.streamIdOf(m_attempt.id))
    , m_delivery(m_attempt.delivery)
    , m_timeoutTimer(context)
    , m_events(m_attempt.resumeAfter)
    , m_relayedBytes(m_attempt.resumeAt)
    , m_startedAt(clock::now())
{
}

void endpoint_session::cancel()
{
    finishFailed(failure_kind::CallerGone);
}

void endpoint_session::giveUpAnswer()
{
    finishFailed(failure_kind::AnswerTooLarge);
}

void endpoint_session::withdraw()
{
    finishFailed(failure_kind::NoEndpoint);
}

void endpoint_session::onChunkConsumed()
{
    if (!hasEnded() && std::exchange(m_isChunkUnacknowledged, false))
        continueReading();
}

void endpoint_session::endUnexpectedly()
{
    finishFailed(failure_kind::UnexpectedError);
}

void endpoint_session::armTimeout(time_point limit)
{
    m_timeoutTimer.expires_at(limit);
    m_timeoutTimer.async_wait(contained(shared_from_this(), [](endpoint_session& self, beast::error_code error) {
        if (!error && !self.hasEnded())
            self.onTimeout();
    }));
}

void endpoint_session::onTimeout()
{
    m_isTimedOut = true;
    finishFailed(classifyError({}));
}

void endpoint_session::readHead()
{
    m_parser.emplace();
    // An answer is bounded chunk by chunk, not as a whole. Boost 1.74 treats an unset limit as zero.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(
        m_connection->socket, m_connection->buffer, *m_parser, handlerOf(&endpoint_session::onHead));
}

void endpoint_session::onHead(beast::error_code error)
{
    if (hasEnded())
        return;
    if (error) {
        finishFailed(classifyError(error));
        return;
    }
    const auto& head = m_parser->get();
    if (head.result_int() < lowestStatus || head.result_int() > highestStatus) {
        finishFailed(failure_kind::EndpointBroke);
        return;
    }
    if (head.result_int() < lowestFinalStatus) {
        // An interim answer; the final one follows.
        if (++m_skippedAnswers > skippedAnswerLimit)
            finishFailed(failure_kind::EndpointBroke);
        else
            readHead();
        return;
    }
    handleHead();
}

void endpoint_session::reportNotice()
{
    auto notice = m_delegate.dialect().noticeOf(m_parser->get(), clock::now());
    if (!notice.isEmpty())
        m_delegate.notice({ m_attempt.to.endpoint, m_attempt.to.incarnation, notice.isLeaving, notice.quietUntil,
            notice.coldUntil, std::move(notice.problem) });
}

void endpoint_session::handleHead()
{
    const auto& head = m_parser->get();
    auto classification = m_delegate.dialect().classify(head, m_parser->need_eof(), m_attempt, m_streamId);
    if (!classification.namesCall && !isFirstAnswer())
        classification = { answer_class::OtherCall, failure_kind::AnswerMismatched };
    // At a reused address, another endpoint speaks about itself.
    if (classification.problem != failure_kind::EndpointReplaced)
        reportNotice();
    switch (classification.answerClass) {
    case answer_class::Answer:
        if (!mayHaveBody(head) || (m_delivery == answer_delivery::Events && !mayBeEventStream(head)))
            m_delivery = answer_delivery::Buffered;
        continueReading();
        break;
    case answer_class::NotRun:
        handleRefusal(classification.problem);
        break;
    case answer_class::OtherCall:
        skipUnrelatedAnswer();
        break;
    case answer_class::Invalid:
        finishFailed(classification.problem);
        break;
    }
}

bool endpoint_session::isFirstAnswer() const
{
    return !m_connection->hasCarriedCall && !m_hasSkippedAnswer;
}

void endpoint_session::skipUnrelatedAnswer()
{
    if (m_parser->need_eof() || ++m_skippedAnswers > skippedAnswerLimit) {
        finishFailed(failure_kind::AnswerMismatched);
        return;
    }
    m_hasSkippedAnswer = true;
    m_isDiscarding = true;
    armTimeout(std::min(m_attempt.deadline, clock::now() + discardTimeout));
    continueReading();
}

void endpoint_session::handleRefusal(failure_kind kind)
{
    report(attempt_outcome::Refused, failure { kind, m_attempt.to.endpoint.value });
    if (m_parser->need_eof() || m_parser->is_done()) {
        releaseConnection(m_parser->is_done());
        return;
    }
    // The rest of the answer is read only so that the connection can be reused.
    m_isDiscarding = true;
    armTimeout(clock::now() + discardTimeout);
    readChunk();
}

void endpoint_session::continueReading()
{
    if (!m_parser->is_done()) {
        readChunk();
        return;
    }
    if (m_isReported) {
        releaseConnection(true);
    } else if (std::exchange(m_isDiscarding, false)) {
        armTimeout(m_attempt.deadline);
        readHead();
    } else {
        finishCompleted();
    }
}

void endpoint_session::relayHead()
{
    // The head is held until the first bytes of the body arrive, so that an attempt that fails earlier can be retried.
    if (m_attempt.resumeAt.value > 0 || m_attempt.resumeAfter || std::exchange(m_hasRelayedHead, true))
        return;
    const auto& head = m_parser->get();
    const auto type = head[http::field::content_type];
    m_delegate.relay(
        answer_head { m_attempt.id, { static_cast<int>(head.result_int()) }, std::string(type.data(), type.size()),
            m_delegate.dialect().forwardedFields(head), m_delegate.dialect().loadOf(head, m_attempt.to.endpoint) });
}

void endpoint_session::readChunk()
{
    auto& body = m_parser->get().body();
    body.data = m_chunk.data();
    body.size = m_chunk.size();
    http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser, handlerOf(&endpoint_session::onChunk));
}

void endpoint_session::onChunk(beast::error_code error)
{
    if (hasEnded())
        return;
    if (error && error != http::error::need_buffer) {
        finishFailed(classifyError(error));
        return;
    }
    const auto received = m_chunk.size() - m_parser->get().body().size;
    if (received == 0)
        continueReading();
    else if (m_isDiscarding)
        discard(received);
    else
        handleChunk({ m_chunk.data(), received });
}

void endpoint_session::discard(std::size_t size)
{
    m_discardedBytes += size;
    if (m_discardedBytes > discardLimit)
        finishFailed(failure_kind::AnswerTooLarge);
    else
        continueReading();
}

void endpoint_session::handleChunk(std::string_view bytes)
{
    switch (m_delivery) {
    case answer_delivery::Buffered:
        m_bufferedBody.append(bytes);
        recordHeldBytes();
        if (m_bufferedBody.size() > m_delegate.bodyLimit())
            giveUpAnswer();
        else if (!hasEnded())
            continueReading();
        break;
    case answer_delivery::Chunks:
        relayChunk(std::string(bytes));
        break;
    case answer_delivery::Events:
        handleEvents(bytes);
        break;
    }
}

void endpoint_session::handleEvents(std::string_view bytes)
{
    m_events.append(bytes);
    auto completeEvents = m_events.takeCompleteEvents();
    const bool hasEvents = !completeEvents.empty();
    // Another attempt continues after these events, so they are relayed before this one can be given up.
    if (hasEvents)
        relayChunk(std::move(completeEvents));
    recordHeldBytes();
    if (hasEnded())
        return;
    if (m_events.partialEventSize() > eventSizeLimit)
        giveUpAnswer();
    else if (!hasEvents)
        continueReading();
}

void endpoint_session::recordHeldBytes()
{
    const byte_count held { m_bufferedBody.heldBytes() + m_events.partialEventSize() };
    if (held != std::exchange(m_heldBytes, held))
        m_delegate.recordHeldBytes(m_attempt.id, held);
}

void endpoint_session::relayChunk(std::string bytes)
{
    relayHead();
    m_isChunkUnacknowledged = true;
    m_relayedBytes += byte_count { bytes.size() };
    m_delegate.relay(answer_chunk { m_attempt.id, std::move(bytes) });
}

void endpoint_session::finishCompleted()
{
    // Before the whole request is written, a regular end of the connection cannot be told from a break: a failed write
    // may have consumed the error. It ends no answer that states no length.
    const bool isBrokenOff = m_parser->need_eof() && !m_isRequestWritten;
    if (isBrokenOff || (m_delivery == answer_delivery::Events && m_events.hasPartialEvent())) {
        finishFailed(failure_kind::EndpointBroke);
        return;
    }
    if (isRelayed()) {
        relayHead();
        m_delegate.relay(answer_end { m_attempt.id });
    }
    report(attempt_outcome::Completed, std::nullopt);
    releaseConnection(true);
}

void endpoint_session::finishFailed(failure_kind kind)
{
    report(
        m_hasSent ? attempt_outcome::Broken : attempt_outcome::NotSent, failure { kind, m_attempt.to.endpoint.value });
    releaseConnection(false);
}

void endpoint_session::report(attempt_outcome outcome, std::optional<failure> problem)
{
    if (std::exchange(m_isReported, true))
        return;
    attempt_ended ended { .id = m_attempt.id,
        .endpoint = m_attempt.to.endpoint,
        .outcome = outcome,
        .problem = std::move(problem),
        .relayedBytes = m_relayedBytes,
        .lastEvent = m_events.last(),
        .isRelayed = isRelayed() };
    ended.cost = { std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - m_startedAt).count() };
    if (m_parser && m_parser->is_header_done()) {
        const auto& head = m_parser->get();
        const auto type = head[http::field::content_type];
        ended.status = { static_cast<int>(head.result_int()) };
        ended.contentType = std::string(type.data(), type.size());
        ended.load = m_delegate.dialect().loadOf(head, m_attempt.to.endpoint);
        if (!isRelayed())
            ended.fields = m_delegate.dialect().forwardedFields(head);
    }
    if (outcome == attempt_outcome::Completed)
        ended.body = m_bufferedBody.take();
    if (m_heldBytes.value > 0)
        m_delegate.recordHeldBytes(m_attempt.id, {});
    m_delegate.finish(std::move(ended));
}

void endpoint_session::releaseConnection(bool isComplete)
{
    if (hasEnded())
        return;
    m_timeoutTimer.cancel();
    const auto connection = std::exchange(m_connection, nullptr);
    const bool isReusable = isComplete && m_isRequestWritten && m_parser->is_done() && m_parser->keep_alive()
        && m_skippedAnswers == 0 && connection->buffer.size() == 0;
    const auto policy = isReusable ? m_delegate.dialect().keepAlivePolicyOf(m_parser->get()) : keep_alive_policy {};
    if (policy.isReusable) {
        connection->hasCarriedCall = true;
        m_delegate.keepConnection(connection, policy);
        return;
    }
    beast::error_code ignored;
    // Without a reset, the kernel goes on sending a request that a cut of the network holds up, and it arrives after it
    // was given up.
    if (!isComplete)
        connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->socket.close(ignored);
}

failure_kind endpoint_session::classifyError(beast::error_code error) const
{
    if (!m_hasSent)
        return failure_kind::EndpointUnreachable;
    if (m_isTimedOut || error == asio::error::timed_out)
        return failure_kind::EndpointTimedOut;
    return failure_kind::EndpointBroke;
}

} // namespace kumquatbeam
