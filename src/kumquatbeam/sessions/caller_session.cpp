#include "kumquatbeam/sessions/caller_session.hpp"

#include "kumquatbeam/filters/request_filter.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::seconds writeTimeout { 60 };

    /// Time after which a caller may retry at an overloaded router.
    constexpr std::chrono::milliseconds overloadRetryDelay { 500 };

    constexpr std::chrono::seconds discardTimeout { 2 };
    constexpr unsigned http11 = 11;

    constexpr std::size_t pipelinedReadSize = 4096;

    /// Bytes of pipelined requests from which no more are read while a request is in progress.
    constexpr std::size_t pipelinedLimit = messageBufferLimit - pipelinedReadSize;

    /// Fits a typical request, so that a single read suffices.
    constexpr std::size_t initialBufferSize = 16 * 1024;

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, caller_session_delegate& delegate)
    : m_delegate(delegate)
    , m_stream(std::move(socket))
    , m_idleTimer(m_stream.get_executor())
{
}

void caller_session::start()
{
    m_buffer.reserve(initialBufferSize);
    awaitRequest();
}

void caller_session::deliver(const reply_to_caller& command)
{
    if (m_hasSentHead) {
        // Part of an answer was already sent. Closing without the last chunk tells the caller that it is incomplete.
        closeConnection();
        return;
    }
    writeReply(command.reply, m_keepAlive);
}

void caller_session::endRequest(const call_reply& reply)
{
    if (m_request && !m_isReplyQueued)
        deliver(reply_to_caller { *m_request, reply });
}

void caller_session::deliver(const answer_head& command)
{
    if (m_hasSentHead)
        return;
    m_hasSentHead = true;
    std::ostringstream head;
    head << m_delegate.dialect().encodeAnswerHead(command, m_httpVersion);
    enqueue({ outgoing::framing::Plain, head.str() });
}

void caller_session::deliver(answer_chunk command)
{
    enqueue({ outgoing::framing::Chunk, std::move(command.bytes) });
}

void caller_session::deliver(const answer_end&)
{
    m_isReplyQueued = true;
    enqueue({ outgoing::framing::LastChunk });
}

void caller_session::closeIfIdle()
{
    beast::error_code error;
    const bool hasBytes = m_buffer.size() > 0 || m_stream.socket().available(error) > 0;
    if (m_isReading && !m_parser && !hasBytes)
        closeConnection();
}

void caller_session::endUnexpectedly()
{
    if (m_request)
        abandonRequest();
    else
        closeConnection();
}

template <typename Step> auto caller_session::handlerOf(Step step)
{
    return contained(
        shared_from_this(), [step](caller_session& self, beast::error_code error, auto...) { (self.*step)(error); });
}

void caller_session::awaitRequest()
{
    m_isReading = true;
    m_parser.reset();
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    // The limits may change while the connection is idle, so they are read when a request begins, and the timeout is
    // checked again when it expires.
    m_idleSince = clock::now();
    m_stream.socket().async_wait(asio::socket_base::wait_read, handlerOf(&caller_session::onReadableWhenIdle));
    armIdleTimer();
}

void caller_session::onReadableWhenIdle(beast::error_code error)
{
    if (m_isClosed)
        return;
    m_idleTimer.cancel();
    if (error)
        closeConnection();
    else
        readRequest();
}

void caller_session::armIdleTimer()
{
    m_idleTimer.expires_at(m_idleSince + m_delegate.limits().idleTimeout);
    m_idleTimer.async_wait(handlerOf(&caller_session::onIdleTimer));
}

void caller_session::onIdleTimer(beast::error_code error)
{
    // A request may have begun after the timer had expired.
    if (error || m_isClosed || m_parser || !m_isReading)
        return;
    if (clock::now() < m_idleSince + m_delegate.limits().idleTimeout)
        armIdleTimer();
    else
        closeConnection();
}

void caller_session::readRequest()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(
        static_cast<std::uint32_t>(std::min<std::uint64_t>(m_delegate.limits().header.value, headLimit)));
    m_parser->body_limit(m_delegate.limits().body.value);
    m_stream.expires_after(m_delegate.limits().idleTimeout);
    http::async_read_some(m_stream, m_buffer, *m_parser, handlerOf(&caller_session::onFirstBytes));
}

void caller_session::onFirstBytes(beast::error_code error)
{
    if (error || m_parser->is_header_done()) {
        onHeader(error);
        return;
    }
    m_stream.expires_after(m_delegate.limits().headerTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser, handlerOf(&caller_session::onHeader));
}

void caller_session::onHeader(beast::error_code error)
{
    if (error || m_parser->is_done()) {
        onRead(error);
        return;
    }
    m_stream.expires_after(m_delegate.limits().idleTimeout);
    const auto expectation = m_parser->get()[http::field::expect];
    if (beast::iequals(expectation, "100-continue"))
        sendContinue();
    else
        readBody();
}

void caller_session::sendContinue()
{
    static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_stream, asio::buffer(continueResponse), handlerOf(&caller_session::onContinueSent));
}

void caller_session::onContinueSent(beast::error_code error)
{
    if (error)
        onRead(error);
    else
        readBody();
}

void caller_session::readBody()
{
    http::async_read(m_stream, m_buffer, *m_parser, handlerOf(&caller_session::onRead));
}

void caller_session::onRead(beast::error_code error)
{
    m_isReading = false;
    m_stream.expires_never();
    if (!error) {
        handleRequest();
        return;
    }
    const bool isBadRequest = error.category() == make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (isBadRequest)
        refuse(error);
    else
        closeConnection();
}

void caller_session::refuse(beast::error_code error)
{
    failure problem { failure_kind::MalformedRequest, "header", error.message() };
    if (error == http::error::body_limit)
        problem = { failure_kind::RequestTooLarge, "body" };
    else if (error == http::error::header_limit)
        problem = { failure_kind::HeaderTooLarge, "header" };
    m_hasUnreadInput = true;
    m_discardUntil = clock::now() + discardTimeout;
    writeReply(notRun(std::move(problem)), false);
}

void caller_session::handleRequest()
{
    auto request = m_parser->release();
    m_httpVersion = request.version();
    m_keepAlive = request.keep_alive();
    m_hasSentHead = false;
    m_isReplyQueued = false;
    if (m_httpVersion < http11) {
        writeReply(notRun({ failure_kind::MalformedRequest, "version", "HTTP/1.0", "HTTP/1.1" }), false);
        return;
    }
    const auto& dialect = m_delegate.dialect();
    if (request.target() == dialect.readinessTarget().data()) {
        writeReply(
            m_delegate.isReady() ? call_reply { .kind = reply_kind::Answered } : notRun({ failure_kind::NotReady }),
            m_keepAlive);
        return;
    }
    auto call = dialect.decode(std::move(request), m_delegate.earliestArrival());
    if (!call.ok()) {
        // If the framing of a request is in doubt, the start of the next one on the connection is too.
        writeReply(notRun(failureOf(call.status()).value_or(failure { failure_kind::MalformedRequest })), false);
        return;
    }
    // An overloaded router may read a request whose caller has disconnected meanwhile.
    if (!readPipelined()) {
        closeConnection();
        return;
    }
    // Another delivery of the same order may be in flight, so refusing this one does not prove that the order
    // did not run.
    const failure overload { failure_kind::RingFull };
    auto refusal = call->ticket ? unknownOutcome(overload) : notRun(overload);
    refusal.retryAt = clock::now() + overloadRetryDelay;
    m_request = m_delegate.registerRequest(shared_from_this());
    if (!m_request || !m_delegate.submit(*m_request, std::move(*call))) {
        writeReply(refusal, m_keepAlive);
        return;
    }
    watchForDisconnect();
}

void caller_session::watchForDisconnect()
{
    m_stream.socket().async_wait(asio::socket_base::wait_read,
        contained(shared_from_this(), [watched = *m_request](caller_session& self, beast::error_code error) {
            self.onReadable(watched, error);
        }));
}

void caller_session::onReadable(request_id watched, beast::error_code error)
{
    if (error || m_request != watched)
        return;
    if (!readPipelined())
        abandonRequest();
    else if (m_buffer.size() <= pipelinedLimit)
        watchForDisconnect();
}

bool caller_session::readPipelined()
{
    // The next request may arrive before this one is answered. Its bytes are read, since otherwise a disconnect that
    // follows them would go unnoticed.
    if (m_buffer.size() > pipelinedLimit)
        return true;
    beast::error_code error;
    if (!m_stream.socket().non_blocking())
        m_stream.socket().non_blocking(true, error);
    const auto received = m_stream.socket().read_some(m_buffer.prepare(pipelinedReadSize), error);
    if (error && error != asio::error::would_block)
        return false;
    m_buffer.commit(error ? 0 : received);
    return true;
}

void caller_session::abandonRequest()
{
    m_delegate.abandon(*m_request);
    closeConnection();
}

void caller_session::writeReply(const call_reply& reply, bool keepAlive)
{
    m_keepAlive = keepAlive && !m_delegate.isDraining() && !m_delegate.isNearCallerLimit();
    m_isReplyQueued = true;
    std::ostringstream text;
    text << m_delegate.dialect().encodeReply(reply, m_httpVersion, m_keepAlive, clock::now());
    enqueue({ outgoing::framing::Plain, text.str() });
}

void caller_session::enqueue(outgoing item)
{
    if (m_isClosed)
        return;
    m_outgoing.push_back(std::move(item));
    if (m_outgoing.size() == 1)
        writeNext();
}

void caller_session::writeNext()
{
    auto whenWritten = handlerOf(&caller_session::onWritten);
    m_stream.expires_after(writeTimeout);
    const auto& item = m_outgoing.front();
    switch (item.as) {
    case outgoing::framing::Plain:
        asio::async_write(m_stream, asio::buffer(item.bytes), std::move(whenWritten));
        break;
    case outgoing::framing::Chunk:
        asio::async_write(m_stream, http::make_chunk(asio::buffer(item.bytes)), std::move(whenWritten));
        break;
    case outgoing::framing::LastChunk:
        asio::async_write(m_stream, http::make_chunk_last(), std::move(whenWritten));
        break;
    }
}

void caller_session::onWritten(beast::error_code error)
{
    if (m_isClosed)
        return;
    m_stream.expires_never();
    if (error) {
        if (m_request)
            abandonRequest();
        else
            closeConnection();
        return;
    }
    const bool wasChunk = m_outgoing.front().as == outgoing::framing::Chunk;
    m_outgoing.pop_front();
    if (wasChunk && m_request)
        m_delegate.acknowledgeChunk(*m_request);
    if (!m_outgoing.empty())
        writeNext();
    else if (m_isReplyQueued)
        finishRequest();
}

void caller_session::finishRequest()
{
    if (m_request)
        m_delegate.unregisterRequest(*std::exchange(m_request, std::nullopt));
    if (m_keepAlive && !m_delegate.isDraining())
        awaitRequest();
    else if (m_hasUnreadInput)
        discardRest();
    else
        closeConnection();
}

void caller_session::discardRest()
{
    // Closing while the caller still sends would reset the connection before the caller has read the refusal.
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(timeLeftUntil(m_discardUntil));
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(messageBufferLimit), handlerOf(&caller_session::onDiscarded));
}

void caller_session::onDiscarded(beast::error_code error)
{
    if (error)
        closeConnection();
    else
        discardRest();
}

void caller_session::closeConnection()
{
    if (std::exchange(m_isClosed, true))
        return;
    if (m_request)
        m_delegate.unregisterRequest(*std::exchange(m_request, std::nullopt));
    // A write in progress still uses the bytes in `m_outgoing`.
    beast::error_code ignored;
    m_idleTimer.cancel();
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
    m_delegate.onConnectionClosed(*this);
}

} // namespace kumquatbeam
