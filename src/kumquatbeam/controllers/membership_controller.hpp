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

/// Owns what this router believes about the other entry VMs and about endpoints that are leaving.
class membership_controller final : public controller {
public:
    /// How often a router says that it lives.
    static constexpr std::chrono::milliseconds heartbeatPeriod { 1000 };

    /// Time after its last message at which a peer counts as unreachable.
    static constexpr std::chrono::milliseconds peerTimeout { 3 * heartbeatPeriod };

    membership_controller(const router_settings&, const configuration_controller&);

    std::string_view name() const override { return "membership"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// The routers of the fleet as a strategy sees them, sorted by name: those that the platform lists, this one, and
    /// connected peers. A router that starts while the platform is down has no list, and still has to serve.
    std::vector<router_presence> routers() const;

    /// Whether any source has said that the endpoint is leaving.
    bool isLeaving(const endpoint_id& endpoint) const { return m_leaving.contains(endpoint); }

    /// Peers with a connection that has been greeted, and their incarnations.
    const std::map<entry_vm_id, peer_hello>& connectedPeers() const { return m_connected; }

    /// Whether the peer has been heard lately and is not on its way out.
    bool isReachable(const entry_vm_id& peer) const;

    /// Forgets what peers have said, because the process was paused: all of it may be old. Peers greet anew.
    void resetPeerStates(decision_context&);

private:
    /// What a peer has said about itself.
    struct peer_state {
        revision document;
        bool isDraining = false;
        /// When the belief ends; earlier than now once the peer counts as unreachable.
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
