#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>

#include <map>
#include <vector>

namespace kumquatbeam {

/// The duty that exchanges heartbeats with other daemons as UDP datagrams. Each heartbeat is self-contained, so a lost
/// one is not resent, and no connection can hang during a network partition.
class heartbeats_duty {
public:
    heartbeats_duty(const router_settings&, duty_links&);

    absl::Status listen();
    void start();
    void stop() { m_duty.stop(); }

    duty<peer_command>& inbox() { return m_duty; }

private:
    /// Largest datagram, in bytes.
    static constexpr std::size_t datagramSize = 64 * 1024;

    void handle(peer_command);
    void replacePeers(const set_peers&);
    void send(const send_heartbeat&);
    void receive();
    void handleDatagram(std::size_t size);

    const router_settings& m_settings;
    duty_links& m_links;
    duty<peer_command> m_duty;
    boost::asio::ip::udp::socket m_socket;
    std::map<entry_vm_id, boost::asio::ip::udp::endpoint> m_peers;
    std::vector<char> m_datagram;
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace kumquatbeam
