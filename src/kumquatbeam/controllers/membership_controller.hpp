#pragma once

#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/decisions/leaving_endpoints.hpp"
#include "kumquatbeam/settings/member_list.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <map>
#include <set>

namespace kumquatbeam {

/// Owns the known state of the other entry VMs and of endpoints that are leaving.
class membership_controller final : public controller {
public:
    /// Time between two heartbeats to a peer.
    static constexpr std::chrono::milliseconds heartbeatPeriod { 1000 };

    /// Time after its last message at which a peer is considered unreachable.
    static constexpr std::chrono::milliseconds peerTimeout { 3 * heartbeatPeriod };

    membership_controller(const router_settings&, const configuration_controller&);

    std::string_view name() const override { return "membership"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// The routers of the fleet for the capacity strategy, sorted by name: the listed ones, this one, and connected
    /// peers. Connected peers are included because a router that starts while the platform is down has no member list.
    std::vector<router_presence> routers() const;

    /// Whether any source has reported the endpoint as leaving.
    bool isLeaving(const endpoint_id& endpoint) const { return m_leaving.contains(endpoint); }

    /// The last hello, with the incarnation, of each peer with an established connection.
    const std::map<entry_vm_id, peer_hello>& connectedPeers() const { return m_connected; }

    /// Whether the peer has sent a message within `peerTimeout` and is neither draining nor leaving.
    bool isReachable(const entry_vm_id& peer) const;

    /// Discards the state of all peers and reconnects to them, because that state may be stale after a pause of the
    /// process.
    void resetPeerStates(decision_context&);

private:
    /// State that a peer has reported about itself.
    struct peer_state {
        revision document;
        bool isDraining = false;
        /// Expiry time of the state; in the past once the peer is considered unreachable.
        time_point validUntil = never;
        bool isValid = false;
    };

    void connectInitialPeers(decision_context&);
    void applyMembers(const members_published&, decision_context&);
    void recordConnected(const peer_connected&, decision_context&);
    void recordLost(const peer_lost&, decision_context&);
    void receive(const peer_received&, decision_context&);
    void expirePeerStates(decision_context&);
    void announceLeaving(bool hasChanged, std::string_view source, decision_context&);
    void sendHeartbeats(decision_context&);
    peer_heartbeat makeHeartbeat() const;
    std::set<entry_vm_id> expectedPeers() const;
    void announceChange(decision_context&);

    const router_settings& m_settings;
    const configuration_controller& m_configuration;
    member_list m_members;
    std::map<entry_vm_id, peer_hello> m_connected;
    std::map<entry_vm_id, peer_state> m_peerStates;
    leaving_endpoints m_leaving;
    bool m_isDraining = false;
    bool m_hasStarted = false;
    time_point m_heartbeatAt = time_point::min();
};

} // namespace kumquatbeam
