#include "kumquatbeam/sessions/caller_session.hpp"

#include "kumquatbeam/filters/request_filter.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <chrono>
#include <sstream>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::uint32_t headerLimit = 16 * 1024;
    constexpr std::chrono::seconds idleTimeout { 120 };
    constexpr std::chrono::seconds writeTimeout { 60 };
    constexpr std::chrono::seconds discardTimeout { 2 };
    constexpr std::size_t discardSize = 64 * 1024;
    constexpr unsigned http11 = 11;

    /// Whether the other side has closed its half of the connection.
    bool hasClosed(int descriptor)
    {
        char byte = 0;
        const auto received = ::recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, caller_host& host)
    : m_host(host)
    , m_stream(std::move(socket))
{
}

void caller_session::start()
{
    readRequest();
}

void caller_session::deliver(const reply_to_caller& command)
{
    if (m_hasHeadGone) {
        // Part of an answer has gone out. Closing without the last chunk is the one sign that cannot look whole.
        closeConnection();
        return;
    }
    writeReply(command.reply, m_keepAlive);
}

void caller_session::deliver(const answer_head& command)
{
    if (m_hasHeadGone)
        return;
    m_hasHeadGone = true;
    std::ostringstream head;
    head << encodeAnswerHead(command.status, command.contentType, m_httpVersion);
    enqueue({ outgoing::form::Plain, head.str() });
}

void caller_session::deliver(answer_piece command)
{
    enqueue({ outgoing::form::Chunk, std::move(command.bytes) });
}

void caller_session::deliver(const answer_end&)
{
    m_isLastQueued = true;
    enqueue({ outgoing::form::LastChunk });
}

void caller_session::closeIfIdle()
{
    beast::error_code error;
    const bool hasBytes = m_buffer.size() > 0 || m_stream.socket().available(error) > 0;
    if (m_isReading && !m_parser->got_some() && !hasBytes)
        closeConnection();
}

void caller_session::readRequest()
{
    m_isReading = true;
    m_parser.emplace();
    m_parser->header_limit(headerLimit);
    m_parser->body_limit(m_host.bodyLimit());
    m_stream.expires_after(idleTimeout);
    http::async_read(m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->onRead(error); });
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
    const auto kind = error == http::error::body_limit ? failure_kind::RequestTooLarge : failure_kind::MalformedRequest;
    const auto place = error == http::error::body_limit ? "body" : "header";
    m_isRefusedUnread = true;
    m_discardUntil = clock::now() + discardTimeout;
    writeReply(notRun({ kind, place, error.message() }), false);
}

void caller_session::handleRequest()
{
    auto request = m_parser->release();
    m_httpVersion = request.version();
    m_keepAlive = request.keep_alive();
    m_hasHeadGone = false;
    m_isLastQueued = false;
    if (m_httpVersion < http11) {
        writeReply(notRun({ failure_kind::MalformedRequest, "version", "HTTP/1.0", "HTTP/1.1" }), false);
        return;
    }
    if (request.target() == "/ready") {
        writeReply(m_host.isReady() ? call_reply { .kind = reply_kind::Answered } : notRun({ failure_kind::NotReady }),
            m_keepAlive);
        return;
    }
    auto call = decodeCall(std::move(request), m_host.earliestArrival());
    if (!call.ok()) {
        writeReply(notRun(failureOf(call.status()).value_or(failure { failure_kind::MalformedRequest })), m_keepAlive);
        return;
    }
    // Another delivery of the same order may be on its way, so a refusal here proves nothing about it.
    const failure overload { failure_kind::RingFull };
    const auto refusal = call->ticket ? unknownOutcome(overload) : notRun(overload);
    m_request = m_host.open(shared_from_this());
    if (!m_request || !m_host.submit(*m_request, std::move(*call))) {
        writeReply(refusal, m_keepAlive);
        return;
    }
    watchForLeaving();
}

void caller_session::watchForLeaving()
{
    m_stream.socket().async_wait(
        asio::socket_base::wait_read, [self = shared_from_this(), watched = *m_request](beast::error_code error) {
            if (error || self->m_request != watched)
                return;
            if (hasClosed(self->m_stream.socket().native_handle()))
                self->leave();
        });
}

void caller_session::leave()
{
    m_host.abandon(*m_request);
    closeConnection();
}

void caller_session::writeReply(const call_reply& reply, bool keepAlive)
{
    m_keepAlive = keepAlive && !m_host.isDraining();
    m_isLastQueued = true;
    std::ostringstream text;
    text << encodeReply(reply, m_httpVersion, m_keepAlive, clock::now());
    enqueue({ outgoing::form::Plain, text.str() });
}

void caller_session::enqueue(outgoing item)
{
    m_outgoing.push_back(std::move(item));
    if (m_outgoing.size() == 1)
        writeNext();
}

void caller_session::writeNext()
{
    const auto whenWritten
        = [self = shared_from_this()](beast::error_code error, std::size_t) { self->onWritten(error); };
    m_stream.expires_after(writeTimeout);
    const auto& item = m_outgoing.front();
    switch (item.as) {
    case outgoing::form::Plain:
        asio::async_write(m_stream, asio::buffer(item.bytes), whenWritten);
        break;
    case outgoing::form::Chunk:
        asio::async_write(m_stream, http::make_chunk(asio::buffer(item.bytes)), whenWritten);
        break;
    case outgoing::form::LastChunk:
        asio::async_write(m_stream, http::make_chunk_last(), whenWritten);
        break;
    }
}

void caller_session::onWritten(beast::error_code error)
{
    m_stream.expires_never();
    if (m_outgoing.empty())
        return;
    if (error) {
        if (m_request)
            leave();
        else
            closeConnection();
        return;
    }
    const bool wasPiece = m_outgoing.front().as == outgoing::form::Chunk;
    m_outgoing.pop_front();
    if (wasPiece && m_request)
        m_host.acknowledgePiece(*m_request);
    if (!m_outgoing.empty())
        writeNext();
    else if (m_isLastQueued)
        finishRequest();
}

void caller_session::finishRequest()
{
    if (m_request)
        m_host.close(*std::exchange(m_request, std::nullopt));
    if (m_keepAlive && !m_host.isDraining())
        readRequest();
    else if (m_isRefusedUnread)
        discardRest();
    else
        closeConnection();
}

void caller_session::discardRest()
{
    // Closing while the caller still sends would reset the connection, and the caller might never read the refusal.
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_at(m_discardUntil);
    m_buffer.clear();
    m_stream.async_read_some(
        m_buffer.prepare(discardSize), [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error)
                self->closeConnection();
            else
                self->discardRest();
        });
}

void caller_session::closeConnection()
{
    if (std::exchange(m_isClosed, true))
        return;
    if (m_request)
        m_host.close(*std::exchange(m_request, std::nullopt));
    m_outgoing.clear();
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
    m_host.end(*this);
}

} // namespace kumquatbeam
