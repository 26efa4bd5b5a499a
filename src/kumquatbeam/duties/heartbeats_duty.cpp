#include "kumquatbeam/duties/heartbeats_duty.hpp"

#include "kumquatbeam/codec/peer_codec.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/types/event_handlers.hpp"
#include "kumquatbeam/types/failure.hpp"

#include <string>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
using asio::ip::udp;

heartbeats_duty::heartbeats_duty(const router_settings& settings, duty_links& links)
    : m_settings(settings)
    , m_links(links)
    , m_duty("peers", peersRing())
    , m_socket(m_duty.context())
    , m_datagram(datagramSize)
{
}

absl::Status heartbeats_duty::listen()
{
    boost::system::error_code error;
    const auto ipAddress = asio::ip::make_address(m_settings.peerAddress, error);
    if (error)
        return toStatus({ failure_kind::MalformedValue, "peer address", m_settings.peerAddress, "an IP address" });
    const udp::endpoint local(ipAddress, static_cast<std::uint16_t>(m_settings.peerPort));
    m_socket.open(local.protocol(), error);
    if (!error)
        m_socket.bind(local, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return toStatus({ failure_kind::AddressInUse,
            m_settings.peerAddress + ":" + std::to_string(m_settings.peerPort), error.message() });
    return absl::OkStatus();
}

void heartbeats_duty::start()
{
    receive();
    m_duty.start([this](peer_command command) { handle(std::move(command)); });
}

void heartbeats_duty::handle(peer_command command)
{
    const event_handlers handlers {
        [&](const set_peers& peers) { replacePeers(peers); },
        [&](const send_heartbeat& command) { send(command); },
        [&](const close_peer_connections&) { m_links.decisions->post(peer_connections_closed {}); },
    };
    std::visit(handlers, command);
}

void heartbeats_duty::replacePeers(const set_peers& peers)
{
    m_peers.clear();
    for (const auto& peer : peers.peers) {
        boost::system::error_code error;
        const auto ipAddress = asio::ip::make_address(peer.address, error);
        if (!error)
            m_peers.emplace(peer.id, udp::endpoint(ipAddress, static_cast<std::uint16_t>(peer.peerPort)));
    }
}

void heartbeats_duty::send(const send_heartbeat& command)
{
    const auto bytes = encodeFrame(command.heartbeat, clock::now());
    for (const auto& to : command.to) {
        const auto peer = m_peers.find(to);
        if (peer == m_peers.end())
            continue;
        boost::system::error_code error;
        m_socket.send_to(asio::buffer(bytes), peer->second, 0, error);
        // A heartbeat that cannot be sent counts as lost; the next one follows.
        if (error)
            continue;
        m_links.controlTraffic->bytesSent += bytes.size();
        ++m_links.controlTraffic->framesSent;
    }
}

void heartbeats_duty::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_datagram), m_sender, [this](const boost::system::error_code& error, std::size_t size) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                runContained("heartbeats", [&] { handleDatagram(size); });
            receive();
        });
}

void heartbeats_duty::handleDatagram(std::size_t size)
{
    m_links.controlTraffic->bytesReceived += size;
    if (size < frameLengthSize)
        return;
    const std::string_view datagram(m_datagram.data(), size);
    const auto length = decodeFrameLength(datagram.substr(0, frameLengthSize));
    if (!length.ok() || *length != size - frameLengthSize)
        return;
    const auto now = clock::now();
    auto message = decodeFrame(std::string(datagram.substr(frameLengthSize)), { now, now });
    if (!message.ok())
        return;
    const auto* heartbeat = std::get_if<fleet_heartbeat>(&*message);
    // A heartbeat carries its sender's address; a datagram from another address is not genuine.
    if (!heartbeat || heartbeat->address != m_sender.address().to_string())
        return;
    const auto from = heartbeat->from;
    // A heartbeat dropped by a full ring is superseded by the next one.
    static_cast<void>(m_links.decisions->tryPost(peer_received { from, *std::move(message) }));
}

} // namespace kumquatbeam
