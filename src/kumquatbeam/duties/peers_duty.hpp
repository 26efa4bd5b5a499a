#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/arrival_monitor.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/sessions/peer_session.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include <absl/status/status.h>

#include <map>
#include <memory>

namespace kumquatbeam {

/// The duty that exchanges messages with other daemons. Of two daemons, the one with the smaller name connects.
class peers_duty final : public peer_session_delegate {
public:
    peers_duty(const router_settings&, incarnation_id, duty_links&);

    absl::Status listen();
    void start();
    void stop() { m_duty.stop(); }

    duty<peer_command>& inbox() { return m_duty; }

private:
    /// A connection opened by this side whose peer has not sent its hello yet.
    struct pending_connection {
        std::shared_ptr<boost::asio::ip::tcp::socket> socket;
        /// Set once connected; identifies the session when it closes.
        const peer_session* session = nullptr;
        time_point handshakeDeadline = never;
    };

    peer_hello hello() const override;
    bool admit(const std::shared_ptr<peer_session>&, const peer_hello&) override;
    void receive(const entry_vm_id& from, peer_message) override;
    void onSessionClosed(peer_session&, const absl::Status& reason) override;
    void countSent(std::size_t bytes) override;
    void countReceived(std::size_t bytes) override;
    arrival_bounds arrival() override { return m_arrivals.arrival(); }

    void accept();
    void handle(peer_command);
    void replacePeers(set_peers);
    void resetPeers();
    void finish();
    void reportWhenFinished();
    void connectMissing();
    void closeTimedOutConnections();
    void connect(const entry_vm&);
    bool isMemberAddress(const boost::asio::ip::address&) const;

    const router_settings& m_settings;
    incarnation_id m_incarnation;
    duty_links& m_links;
    duty<peer_command> m_duty;
    arrival_monitor m_arrivals;
    boost::asio::ip::tcp::acceptor m_acceptor;
    deadline_timer m_reconnectTimer;
    std::map<entry_vm_id, entry_vm> m_members;
    std::map<entry_vm_id, std::shared_ptr<peer_session>> m_sessions;
    std::map<entry_vm_id, pending_connection> m_connecting;
    bool m_isFinishing = false;
    bool m_hasReported = false;
};

} // namespace kumquatbeam
