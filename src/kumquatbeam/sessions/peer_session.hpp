#pragma once

#include "kumquatbeam/types/arrival_bounds.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/peer_message.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

class peer_session;

/// Interface of the duty that a peer session runs on.
class peer_session_delegate {
public:
    virtual ~peer_session_delegate() = default;

    virtual peer_hello hello() const = 0;

    /// Called for the peer's hello message. Returns false to refuse the peer.
    virtual bool admit(const std::shared_ptr<peer_session>&, const peer_hello&) = 0;

    virtual void receive(const entry_vm_id& from, peer_message) = 0;

    /// Called once, when the session has ended.
    virtual void onSessionClosed(peer_session&, const absl::Status& reason) = 0;

    /// Counts bytes of control traffic, without the headers of lower layers.
    virtual void countSent(std::size_t bytes) = 0;
    virtual void countReceived(std::size_t bytes) = 0;

    /// When bytes that are read now have arrived. Remaining times in a message count from it.
    virtual arrival_bounds arrival() = 0;
};

/// A connection to another daemon. Both sides send a hello message first; then messages flow in both directions.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
    /// Name in logs.
    static constexpr std::string_view partName = "peer-session";

    peer_session(boost::asio::ip::tcp::socket, peer_session_delegate&);

    /// Sends the hello message and starts reading. The socket must be connected.
    void start();

    /// Queues a message. Closes the connection when the queue exceeds its limit because the peer does not read.
    void send(const peer_message&);

    /// Closes the session, and notifies the delegate, once all queued messages are written.
    void closeAfterFlush(const absl::Status& reason);

    /// Closes the session and notifies the delegate.
    void close(const absl::Status& reason);

    /// Closes the session after an unexpected error in a handler.
    void endUnexpectedly();

    /// The peer's hello message, once received.
    const std::optional<peer_hello>& peer() const { return m_peer; }

private:
    /// A completion handler that calls the member function.
    template <typename Step> auto handlerOf(Step);

    void readLength();
    void onLength(const boost::system::error_code&);
    void readBody(std::size_t length);
    void onBody(const boost::system::error_code&);
    void handleMessage(peer_message);
    void writeNext();
    void onWritten(const boost::system::error_code&);
    void restartSilenceTimer();
    void onError(const boost::system::error_code&);

    peer_session_delegate& m_delegate;
    boost::asio::ip::tcp::socket m_socket;
    deadline_timer m_silenceTimer;
    std::array<char, 4> m_length {};
    std::string m_body;
    std::deque<std::string> m_outgoing;
    std::size_t m_outgoingBytes = 0;
    std::optional<peer_hello> m_peer;
    /// Set when the session closes after its last queued message.
    std::optional<absl::Status> m_closeReason;
    bool m_isClosed = false;
};

} // namespace kumquatbeam
