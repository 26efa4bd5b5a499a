#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/decisions/admission/account_shares.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// Provides the load that a router reports to the others.
class load_source {
public:
    virtual ~load_source() = default;

    /// Adds the load of this router to a heartbeat.
    virtual void addLoad(fleet_heartbeat&, time_point now) const = 0;
};

/// Owns the known state of the other routers of the fleet, and sends them heartbeats with the state of this one.
///
/// A starting router only has a few seed addresses, which may be stale, and sends its heartbeats there. Heartbeats list
/// the routers that their sender receives heartbeats from, so every router discovers all others. The load of a silent
/// router is no longer counted, but heartbeats are still sent to it for a while, because a network partition may only
/// have cut it off.
class fleet_controller final : public controller {
public:
    /// @{ Bounds of the heartbeat period, which grows with the fleet.
    static constexpr std::chrono::milliseconds shortestPeriod { 150 };
    static constexpr std::chrono::milliseconds longestPeriod { 1000 };
    /// @}

    /// Heartbeat periods without a heartbeat after which the load of a router is no longer counted, so that a few lost
    /// heartbeats are tolerated.
    static constexpr int missedHeartbeatLimit = 5;

    /// One in this many heartbeats lists the routers that its sender receives heartbeats from.
    static constexpr std::uint64_t heartbeatsPerMemberList = 5;

    /// Time without a heartbeat after which a router is removed. Longer than a network partition between failure
    /// domains.
    static constexpr std::chrono::seconds silentRouterRetention { 60 };

    /// Load that other routers have placed on one endpoint.
    struct load {
        std::int64_t running = 0;
        token_count prefillTokens;
    };

    fleet_controller(const router_settings&, incarnation_id, std::vector<std::string> seeds);

    /// Sets the source of the load in heartbeats; must be called before the first event.
    void setLoadSource(const load_source& source) { m_loadSource = &source; }

    std::string_view name() const override { return "fleet"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// Load that the other routers have placed on an endpoint, from their latest heartbeats.
    load peerLoad(wire_key endpoint) const;

    /// Requested and admitted rates of each account at the other routers, from their latest heartbeats.
    const account_shares::rate_map& peerRates() const { return m_peerRates; }

    /// Upper bound of the number of serving routers, including this one and silent ones that may only be cut off.
    std::int64_t maxServingRouters() const;

private:
    struct member {
        entry_vm_id id;
        std::string address;
        failure_domain_id domain {};
        incarnation_id incarnation {};
        std::uint64_t sequence = 0;
        revision routes {};
        /// Arrival time of the last heartbeat; `never` while the router is known only from the lists of others.
        time_point lastHeartbeatAt = never;
        time_point removeAt = never;
        bool isLeaving = false;
        bool isLoadCounted = false;
        std::vector<fleet_heartbeat::endpoint_row> load {};
        std::vector<fleet_heartbeat::account_row> accounts {};
    };

    void setSeeds(std::vector<std::string>);
    void receiveHeartbeat(const fleet_heartbeat&, decision_context&);
    void addKnownRouter(const known_router&, decision_context&);
    bool canAddMember(decision_context&);
    void countLoad(member&, std::int64_t sign);
    void expire(decision_context&);
    void sendHeartbeats(decision_context&);
    void updatePeers(decision_context&) const;
    fleet_heartbeat makeHeartbeat(time_point now);
    bool isKnownAddress(const std::string&) const;

    const router_settings& m_settings;
    incarnation_id m_incarnation;
    std::vector<std::string> m_seeds;
    const load_source* m_loadSource = nullptr;
    std::map<entry_vm_id, member> m_members;
    /// When it was last logged that no more routers can be known.
    time_point m_fullLoggedAt {};
    std::unordered_map<wire_key, load> m_peerLoad;
    account_shares::rate_map m_peerRates;
    std::uint64_t m_sequence = 0;
    time_point m_nextHeartbeatAt {};
    bool m_isLeaving = false;
    bool m_havePeersChanged = true;
};

} // namespace kumquatbeam
