#include "kumquatbeam/sessions/caller_session.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <sstream>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::seconds writeTimeout { 60 };

    /// Largest body that is copied behind the head of its reply, so that both are written at once.
    constexpr std::size_t joinedBodyLimit = 16 * 1024;

    /// Time for which a caller may leave a reply unread before its connection counts as waiting.
    constexpr std::chrono::seconds unreadReplyTime { 1 };

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, caller_session_delegate& delegate)
    : m_delegate(delegate)
    , m_stream(std::move(socket))
    , m_idleTimer(m_stream.get_executor())
{
}

void caller_session::start()
{
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
    enqueue({ outgoing_bytes::framing::Plain, head.str() });
}

void caller_session::deliver(answer_chunk command)
{
    enqueue({ outgoing_bytes::framing::Chunk, std::move(command.bytes) });
}

void caller_session::deliver(const answer_end&)
{
    m_isReplyQueued = true;
    m_requestBytes = {};
    beginWaiting();
    enqueue({ outgoing_bytes::framing::LastChunk });
}

void caller_session::closeIfIdle()
{
    if (m_isReading && !m_parser && m_buffer.size() == 0 && !hasUnreadBytes())
        closeConnection();
}

void caller_session::dropForMemory()
{
    if (m_isReading && m_parser) {
        // The read in progress still uses the parser, so the refusal follows when the read has ended.
        m_isDropped = true;
        m_delegate.recordHeldBytes(*this, {}, {});
        m_stream.cancel();
        // Bytes that have just arrived may start another read before the one that was cancelled ends.
        asio::post(m_stream.get_executor(), contained(shared_from_this(), [](caller_session& self) {
            if (self.m_isDropped && !self.m_isClosed)
                self.m_stream.cancel();
        }));
    } else if (m_request && !m_isReplyQueued) {
        abandonRequest();
    } else {
        closeConnection();
    }
}

bool caller_session::closeIfWaiting(time_point now)
{
    const bool isIdle = m_isReading && !m_parser;
    if (isIdle && hasUnreadBytes())
        return false;
    if (m_request && !m_isReplyQueued)
        return false;
    if (m_isReplyQueued && !m_outgoing.isEmpty() && now < m_waitingSince + unreadReplyTime)
        return false;
    closeConnection();
    return true;
}

bool caller_session::hasUnreadBytes() const
{
    beast::error_code error;
    return m_stream.socket().available(error) > 0;
}

void caller_session::endUnexpectedly()
{
    if (m_request)
        abandonRequest();
    else
        closeConnection();
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
    m_requestBytes = {};
    beginWaiting();
    auto response = m_delegate.dialect().encodeReply(reply, m_httpVersion, m_keepAlive, clock::now());
    std::ostringstream head;
    head << response.base();
    auto text = head.str();
    if (response.body().size() <= joinedBodyLimit)
        text += std::exchange(response.body(), {});
    enqueue({ outgoing_bytes::framing::Plain, std::move(text) });
    if (!response.body().empty())
        enqueue({ outgoing_bytes::framing::Plain, std::move(response.body()) });
}

void caller_session::enqueue(outgoing_bytes item)
{
    if (m_isClosed)
        return;
    const bool isFirst = m_outgoing.push(std::move(item));
    recordHeldBytes();
    if (isFirst && !m_isClosed)
        writeNext();
}

void caller_session::writeNext()
{
    m_stream.expires_after(writeTimeout);
    m_outgoing.writeNext(m_stream, handlerOf(&caller_session::onWritten));
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
    const bool wasChunk = m_outgoing.pop() == outgoing_bytes::framing::Chunk;
    recordHeldBytes();
    if (m_isClosed)
        return;
    if (wasChunk && m_request)
        m_delegate.acknowledgeChunk(*m_request);
    if (!m_outgoing.isEmpty())
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

void caller_session::beginWaiting()
{
    m_waitingSince = clock::now();
    m_delegate.recordWaiting(*this, true);
}

void caller_session::recordHeldBytes()
{
    if (m_isClosed || m_isDropped)
        return;
    auto droppable = m_outgoing.heldBytes();
    droppable.value += m_buffer.capacity();
    if (m_parser) {
        droppable.value += m_parser->get().body().heldBytes();
        droppable += m_fieldBytes;
    }
    m_delegate.recordHeldBytes(*this, m_requestBytes, droppable);
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
