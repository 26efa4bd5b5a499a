#pragma once

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

namespace kumquatbeam {

class peer_session;

/// What a peer session needs from the duty that it runs on.
class peer_session_delegate {
public:
    virtual ~peer_session_delegate() = default;

    virtual peer_hello hello() const = 0;

    /// A greeting came. False refuses the peer.
    virtual bool admit(const std::shared_ptr<peer_session>&, const peer_hello&) = 0;

    virtual void receive(const entry_vm_id& from, peer_message) = 0;

    /// The session has ended; called once.
    virtual void onSessionClosed(peer_session&, const absl::Status& reason) = 0;

    /// Counts bytes of control traffic, without the headers of the layers below.
    virtual void countSent(std::size_t bytes) = 0;
    virtual void countReceived(std::size_t bytes) = 0;

    /// The time after which bytes that are read now have arrived; the times left that they state count from it.
    virtual time_point earliestArrival() = 0;
};

/// One connection to another daemon. Both sides greet first; then messages go both ways.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
    peer_session(boost::asio::ip::tcp::socket, peer_session_delegate&);

    /// Runs on a connected socket.
    void start();

    /// Queues a message. A peer that does not read loses the connection once its queue is full.
    void send(const peer_message&);

    /// Ends the session once what is queued has been written; the host is told.
    void closeAfterFlush(const absl::Status& reason);

    /// Ends the session; the host is told.
    void close(const absl::Status& reason);

    /// The peer, once it has greeted.
    const std::optional<peer_hello>& peer() const { return m_peer; }

private:
    void readLength();
    void readBody(std::size_t length);
    void handleMessage(peer_message);
    void writeNext();
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
    /// Set when the session is to end with its last queued message.
    std::optional<absl::Status> m_closeReason;
    bool m_isClosed = false;
};

} // namespace kumquatbeam
