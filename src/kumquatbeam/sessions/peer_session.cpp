#include "kumquatbeam/sessions/peer_session.hpp"

#include "kumquatbeam/codec/peer_codec.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/types/failure.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t outgoingByteLimit = 2 * frameLimit;

    /// A peer that sends nothing for this long counts as lost; the heartbeat period is shorter.
    constexpr std::chrono::milliseconds silenceTimeout { 3000 };

} // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, peer_session_delegate& delegate)
    : m_delegate(delegate)
    , m_socket(std::move(socket))
    , m_silenceTimer(m_socket.get_executor())
{
}

void peer_session::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    send(m_delegate.hello());
    restartSilenceTimer();
    readLength();
}

void peer_session::send(const peer_message& message)
{
    if (m_isClosed)
        return;
    auto bytes = encodeFrame(message, clock::now());
    m_delegate.countSent(bytes.size());
    m_outgoingBytes += bytes.size();
    if (m_outgoingBytes > outgoingByteLimit) {
        close(toStatus({ failure_kind::RingFull, "peer" }));
        return;
    }
    m_outgoing.push_back(std::move(bytes));
    if (m_outgoing.size() == 1)
        writeNext();
}

void peer_session::closeAfterFlush(const absl::Status& reason)
{
    m_closeReason = reason;
    if (m_outgoing.empty())
        close(reason);
}

void peer_session::close(const absl::Status& reason)
{
    if (std::exchange(m_isClosed, true))
        return;
    boost::system::error_code ignored;
    m_silenceTimer.cancel();
    m_socket.close(ignored);
    m_delegate.onSessionClosed(*this, reason);
}

void peer_session::endUnexpectedly()
{
    close(toStatus({ failure_kind::UnexpectedError, "peer" }));
}

template <typename Step> auto peer_session::handlerOf(Step step)
{
    return contained(shared_from_this(),
        [step](peer_session& self, const boost::system::error_code& error, auto...) { (self.*step)(error); });
}

void peer_session::readLength()
{
    asio::async_read(m_socket, asio::buffer(m_length), handlerOf(&peer_session::onLength));
}

void peer_session::onLength(const boost::system::error_code& error)
{
    if (error) {
        onError(error);
        return;
    }
    const auto length = decodeFrameLength({ m_length.data(), m_length.size() });
    if (length.ok())
        readBody(*length);
    else
        close(length.status());
}

void peer_session::readBody(std::size_t length)
{
    m_body.resize(length);
    asio::async_read(m_socket, asio::buffer(m_body), handlerOf(&peer_session::onBody));
}

void peer_session::onBody(const boost::system::error_code& error)
{
    if (error) {
        onError(error);
        return;
    }
    m_delegate.countReceived(frameLengthSize + m_body.size());
    // After a long pause of this process, the buffered messages are stale and the peer has timed this router out.
    if (clock::now() >= m_silenceTimer.expiry()) {
        close(toStatus({ failure_kind::OwnerUnreachable, "peer", "silence" }));
        return;
    }
    auto message = decodeFrame(m_body, m_delegate.arrival());
    if (!message.ok()) {
        close(message.status());
        return;
    }
    restartSilenceTimer();
    handleMessage(*std::move(message));
    if (!m_isClosed)
        readLength();
}

void peer_session::handleMessage(peer_message message)
{
    if (m_peer) {
        m_delegate.receive(m_peer->from, std::move(message));
        return;
    }
    const auto* hello = std::get_if<peer_hello>(&message);
    if (!hello) {
        close(toStatus({ failure_kind::MalformedFrame, "greeting" }));
        return;
    }
    m_peer = *hello;
    if (!m_delegate.admit(shared_from_this(), *hello))
        close(toStatus({ failure_kind::NotAMember, hello->from.value }));
}

void peer_session::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_outgoing.front()), handlerOf(&peer_session::onWritten));
}

void peer_session::onWritten(const boost::system::error_code& error)
{
    if (error) {
        onError(error);
        return;
    }
    m_outgoingBytes -= m_outgoing.front().size();
    m_outgoing.pop_front();
    if (!m_outgoing.empty())
        writeNext();
    else if (m_closeReason)
        close(*m_closeReason);
}

void peer_session::restartSilenceTimer()
{
    m_silenceTimer.expires_after(silenceTimeout);
    m_silenceTimer.async_wait(
        contained(shared_from_this(), [](peer_session& self, const boost::system::error_code& error) {
            if (!error)
                self.close(toStatus({ failure_kind::OwnerUnreachable, "peer", "silence" }));
        }));
}

void peer_session::onError(const boost::system::error_code& error)
{
    close(toStatus({ failure_kind::OwnerUnreachable, "peer", error.message() }));
}

} // namespace kumquatbeam
