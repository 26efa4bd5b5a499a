#include "kumquatbeam/sessions/caller_session.hpp"

#include "kumquatbeam/filters/request_filter.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

// The part of a caller session that reads and passes on requests.

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    /// Time after which a caller may retry at an overloaded router.
    constexpr std::chrono::milliseconds overloadRetryDelay { 500 };

    constexpr std::chrono::seconds discardTimeout { 2 };
    constexpr std::size_t discardReadSize = 16 * 1024;
    constexpr unsigned http11 = 11;

    constexpr std::size_t pipelinedReadSize = 4096;

    /// Bytes of pipelined requests from which no more are read while a request is in progress.
    constexpr std::size_t pipelinedLimit = messageBufferLimit - pipelinedReadSize;

    /// Fits a typical request, so that a single read suffices.
    constexpr std::size_t initialBufferSize = 16 * 1024;

    /// Memory that a parsed header field takes in addition to its text: a node of two indexes and its allocation.
    constexpr std::size_t fieldOverhead = 112;

    /// Memory of a request in progress in addition to its texts.
    constexpr std::size_t requestOverhead = 1024;

    byte_count fieldBytesOf(const http::fields& fields)
    {
        byte_count held;
        for (const auto& field : fields)
            held.value += field.name_string().size() + field.value().size() + fieldOverhead;
        return held;
    }

    /// Memory of a request until it has ended. Each attempt holds a copy of the body for its endpoint.
    byte_count heldBytesOf(const call_request& call)
    {
        byte_count held { 2 * call.body.capacity() + call.target.capacity() + requestOverhead };
        for (const auto& field : call.fields)
            held.value += field.name.size() + field.value.size() + fieldOverhead;
        return held;
    }

} // namespace

void caller_session::awaitRequest()
{
    m_isReading = true;
    m_parser.reset();
    beginWaiting();
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    // An idle connection holds no buffer.
    m_buffer.shrink_to_fit();
    recordHeldBytes();
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
    else if (!hasUnreadBytes())
        closeConnection();
}

void caller_session::readRequest()
{
    m_buffer.reserve(initialBufferSize);
    m_fieldBytes = {};
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(
        static_cast<std::uint32_t>(std::min<std::uint64_t>(m_delegate.limits().header.value, headLimit)));
    m_parser->body_limit(m_delegate.limits().body.value);
    // The first bytes have arrived. Reading a part of the head would not tell, since Beast parses heads as a whole.
    beginWaiting();
    recordHeldBytes();
    if (m_isDropped) {
        onRead(asio::error::operation_aborted);
        return;
    }
    m_stream.expires_after(m_delegate.limits().headerTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser, handlerOf(&caller_session::onHeader));
}

void caller_session::onHeader(beast::error_code error)
{
    if (error || m_isDropped || m_parser->is_done()) {
        onRead(error);
        return;
    }
    m_fieldBytes = fieldBytesOf(m_parser->get());
    beginWaiting();
    recordHeldBytes();
    if (m_isDropped) {
        onRead(asio::error::operation_aborted);
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
    if (error || m_isDropped)
        onRead(error);
    else
        readBody();
}

void caller_session::readBody()
{
    http::async_read_some(m_stream, m_buffer, *m_parser, handlerOf(&caller_session::onBodyRead));
}

void caller_session::onBodyRead(beast::error_code error)
{
    if (error || m_isDropped || m_parser->is_done()) {
        onRead(error);
        return;
    }
    recordHeldBytes();
    if (m_isDropped)
        onRead(asio::error::operation_aborted);
    else
        readBody();
}

void caller_session::onRead(beast::error_code error)
{
    if (m_isClosed)
        return;
    m_isReading = false;
    m_stream.expires_never();
    if (std::exchange(m_isDropped, false)) {
        refuseDropped();
        return;
    }
    if (!error) {
        handleRequest();
        return;
    }
    const bool isBadRequest = error.category() == make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (error == http::error::body_limit)
        refuse(notRun({ failure_kind::RequestTooLarge, "body" }));
    else if (error == http::error::header_limit)
        refuse(notRun({ failure_kind::HeaderTooLarge, "header" }));
    else if (isBadRequest)
        refuse(notRun({ failure_kind::MalformedRequest, "header", error.message() }));
    else
        closeConnection();
}

void caller_session::refuseDropped()
{
    // As in `handleRequest`, refusing one delivery of an order does not prove that the order did not run.
    bool isOrder = false;
    if (m_parser->is_header_done()) {
        const auto call = m_delegate.dialect().decode(http_request(m_parser->get().base()), m_delegate.arrival());
        isOrder = call.ok() && call->ticket;
    }
    const failure problem { failure_kind::MemoryShort, "request" };
    auto refusal = isOrder ? unknownOutcome(problem) : notRun(problem);
    refusal.retryAt = clock::now() + overloadRetryDelay;
    refuse(refusal);
}

void caller_session::refuse(const call_reply& refusal)
{
    m_hasUnreadInput = true;
    m_discardUntil = clock::now() + discardTimeout;
    // The caller may be slow to read the refusal, so what was read of its request is freed now.
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    writeReply(refusal, false);
}

void caller_session::handleRequest()
{
    auto parsed = m_parser->release();
    m_parser.reset();
    http_request request(std::move(parsed.base()));
    request.body() = parsed.body().take();
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
    auto call = dialect.decode(std::move(request), m_delegate.arrival());
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
    const auto held = heldBytesOf(*call);
    const bool isMemoryShort = !m_delegate.canPassOn(held);
    const failure overload { isMemoryShort ? failure_kind::MemoryShort : failure_kind::RingFull };
    auto refusal = call->ticket ? unknownOutcome(overload) : notRun(overload);
    refusal.retryAt = clock::now() + overloadRetryDelay;
    if (!isMemoryShort)
        m_request = m_delegate.registerRequest(shared_from_this());
    if (!m_request || !m_delegate.submit(*m_request, std::move(*call))) {
        writeReply(refusal, m_keepAlive);
        return;
    }
    m_requestBytes = held;
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    m_delegate.recordWaiting(*this, false);
    recordHeldBytes();
    if (!m_isClosed)
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
    if (!readPipelined()) {
        abandonRequest();
        return;
    }
    recordHeldBytes();
    if (!m_isClosed && m_buffer.size() <= pipelinedLimit)
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
    // Most callers send nothing before they have their reply, and their connections need no buffer.
    std::array<char, pipelinedReadSize> input; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto received = m_stream.socket().read_some(asio::buffer(input), error);
    if (error)
        return error == asio::error::would_block;
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(received), asio::buffer(input, received)));
    return true;
}

void caller_session::discardRest()
{
    // Closing while the caller still sends would reset the connection before the caller has read the refusal.
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (!m_stream.socket().non_blocking())
        m_stream.socket().non_blocking(true, ignored);
    m_idleTimer.expires_at(m_discardUntil);
    m_idleTimer.async_wait(handlerOf(&caller_session::onDiscardTimeout));
    awaitDiscardable();
}

void caller_session::onDiscardTimeout(beast::error_code error)
{
    if (!error && !m_isClosed)
        closeConnection();
}

void caller_session::awaitDiscardable()
{
    m_stream.socket().async_wait(asio::socket_base::wait_read, handlerOf(&caller_session::onDiscardable));
}

void caller_session::onDiscardable(beast::error_code error)
{
    if (m_isClosed)
        return;
    // Many callers may be refused at once, so the bytes are read into a buffer that the connection does not keep.
    std::array<char, discardReadSize> input; // NOLINT(cppcoreguidelines-pro-type-member-init)
    if (!error)
        m_stream.socket().read_some(asio::buffer(input), error);
    if (error && error != asio::error::would_block)
        closeConnection();
    else
        awaitDiscardable();
}

} // namespace kumquatbeam
