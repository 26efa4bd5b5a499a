#include "kumquatbeam/duties/peers_duty.hpp"

#include "kumquatbeam/duties/listen.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/sessions/connect.hpp"
#include "kumquatbeam/types/event_handlers.hpp"
#include "kumquatbeam/types/failure.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds reconnectPeriod { 500 };

    /// Longest wait for the peer's hello on a new connection, since the network may hold back bytes without an error.
    constexpr std::chrono::milliseconds handshakeTimeout { 3000 };

} // namespace

peers_duty::peers_duty(const router_settings& settings, incarnation_id incarnation, duty_links& links)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_links(links)
    , m_duty("peers", peersRing())
    , m_arrivals(m_duty.context())
    , m_acceptor(m_duty.context())
    , m_reconnectTimer(m_duty.context())
{
}

absl::Status peers_duty::listen()
{
    return listenOn(m_acceptor, m_settings.peerAddress, m_settings.peerPort);
}

void peers_duty::start()
{
    accept();
    m_arrivals.start();
    m_duty.start([this](peer_command command) { handle(std::move(command)); });
}

peer_hello peers_duty::hello() const
{
    return { m_settings.self, m_incarnation, m_settings.domain };
}

bool peers_duty::admit(const std::shared_ptr<peer_session>& session, const peer_hello& hello)
{
    if (m_isFinishing || !m_members.contains(hello.from) || hello.from == m_settings.self)
        return false;
    m_connecting.erase(hello.from);
    auto& current = m_sessions[hello.from];
    const auto replaced = std::exchange(current, session);
    if (replaced)
        replaced->close(toStatus({ failure_kind::DuplicateName, hello.from.value }));
    m_links.decisions->post(peer_connected { hello });
    return true;
}

void peers_duty::receive(const entry_vm_id& from, peer_message message)
{
    // A message dropped by a full ring is repeated with the next heartbeat or covered by a deadline.
    static_cast<void>(m_links.decisions->tryPost(peer_received { from, std::move(message) }));
}

void peers_duty::onSessionClosed(peer_session& session, const absl::Status&)
{
    std::erase_if(m_connecting, [&](const auto& entry) { return entry.second.session == &session; });
    if (!session.peer())
        return;
    const auto& name = session.peer()->from;
    const auto current = m_sessions.find(name);
    if (current == m_sessions.end() || current->second.get() != &session)
        return;
    m_sessions.erase(current);
    m_links.decisions->post(peer_lost { name });
    reportWhenFinished();
}

void peers_duty::countSent(std::size_t bytes)
{
    m_links.controlTraffic->bytesSent += bytes;
    ++m_links.controlTraffic->framesSent;
}

void peers_duty::countReceived(std::size_t bytes)
{
    m_links.controlTraffic->bytesReceived += bytes;
}

void peers_duty::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        boost::system::error_code ignored;
        if (!error && isMemberAddress(socket.remote_endpoint(ignored).address()))
            runContained("peers", [&] { std::make_shared<peer_session>(std::move(socket), *this)->start(); });
        accept();
    });
}

void peers_duty::handle(peer_command command)
{
    const event_handlers handlers {
        [&](set_peers&& peers) { replacePeers(std::move(peers)); },
        [&](reconnect_peers&&) { resetPeers(); },
        [&](close_peer_connections&&) { finish(); },
        [&](send_to_peer&& message) {
            const auto session = m_sessions.find(message.to);
            if (session != m_sessions.end())
                session->second->send(message.message);
        },
        [&](send_heartbeat&& command) {
            for (const auto& to : command.to) {
                if (const auto session = m_sessions.find(to); session != m_sessions.end())
                    session->second->send(command.heartbeat);
            }
        },
    };
    std::visit(handlers, std::move(command));
}

void peers_duty::replacePeers(set_peers peers)
{
    m_members.clear();
    for (auto& peer : peers.peers)
        m_members.emplace(peer.id, peer);
    connectMissing();
}

void peers_duty::resetPeers()
{
    const auto sessions = m_sessions;
    for (const auto& [id, session] : sessions)
        session->close(toStatus({ failure_kind::OwnerUnreachable, id.value, "pause" }));
    connectMissing();
}

void peers_duty::finish()
{
    m_isFinishing = true;
    const auto sessions = m_sessions;
    for (const auto& [id, session] : sessions)
        session->closeAfterFlush(toStatus({ failure_kind::Draining, id.value }));
    reportWhenFinished();
}

void peers_duty::reportWhenFinished()
{
    if (m_isFinishing && m_sessions.empty() && !std::exchange(m_hasReported, true))
        m_links.decisions->post(peer_connections_closed {});
}

void peers_duty::connectMissing()
{
    if (m_isFinishing)
        return;
    closeTimedOutConnections();
    for (const auto& [id, member] : m_members) {
        if (m_settings.self < id && !m_sessions.contains(id) && !m_connecting.contains(id))
            connect(member);
    }
    m_reconnectTimer.expires_after(reconnectPeriod);
    m_reconnectTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            connectMissing();
    });
}

void peers_duty::connect(const entry_vm& member)
{
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_duty.context());
    const auto remote = openClientSocket(*socket, m_settings.sourceAddress, member.address, member.peerPort);
    if (!remote)
        return;
    m_connecting.insert_or_assign(member.id, pending_connection { socket, nullptr, clock::now() + handshakeTimeout });
    socket->async_connect(*remote, [this, socket, id = member.id](const boost::system::error_code& failed) {
        const auto pending = m_connecting.find(id);
        const bool isCurrent = pending != m_connecting.end() && pending->second.socket == socket;
        if (failed) {
            if (isCurrent)
                m_connecting.erase(pending);
            return;
        }
        const auto session = std::make_shared<peer_session>(std::move(*socket), *this);
        if (isCurrent)
            pending->second.session = session.get();
        session->start();
    });
}

void peers_duty::closeTimedOutConnections()
{
    const auto now = clock::now();
    std::erase_if(m_connecting, [&](const auto& entry) {
        if (entry.second.handshakeDeadline > now)
            return false;
        boost::system::error_code ignored;
        entry.second.socket->close(ignored);
        return true;
    });
}

bool peers_duty::isMemberAddress(const asio::ip::address& address) const
{
    const auto text = address.to_string();
    return std::any_of(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.address == text; });
}

} // namespace kumquatbeam
