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

/// What a router tells the others about its own load.
class load_source {
public:
    virtual ~load_source() = default;

    /// Adds the load of this router to a beat.
    virtual void addLoad(fleet_heartbeat&, time_point now) const = 0;
};

/// Owns what is known about the other routers of the fleet, and tells them about this one.
///
/// A router that starts knows nothing but a few addresses, which may be stale. It sends its beats there; every beat
/// names the routers that its sender has heard, so all learn of all. A router that falls silent is not counted on, but
/// it is still told for a while, since it may just be cut off.
class fleet_controller final : public controller {
public:
    /// @{ Bounds of the time between two beats of one router; it grows with the fleet.
    static constexpr std::chrono::milliseconds shortestPeriod { 150 };
    static constexpr std::chrono::milliseconds longestPeriod { 1000 };
    /// @}

    /// Periods of silence after which a router's load is not believed any more: a few lost beats.
    static constexpr int missedHeartbeatLimit = 5;

    /// One in this many beats names the routers that its sender has heard.
    static constexpr std::uint64_t heartbeatsPerMemberList = 5;

    /// Silence after which a router is neither told nor counted any more. Longer than a cut between failure domains.
    static constexpr std::chrono::seconds silentRouterRetention { 60 };

    /// Load of one endpoint by other routers.
    struct load {
        std::int64_t running = 0;
        token_count prefillTokens;
    };

    fleet_controller(const router_settings&, incarnation_id, std::vector<std::string> seeds);

    /// Whose load the beats tell; set before the first event.
    void setLoadSource(const load_source& source) { m_loadSource = &source; }

    std::string_view name() const override { return "fleet"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// What the other routers have running at an endpoint, by their last words.
    load peerLoad(wire_key endpoint) const;

    /// What every account asked for and got at the other routers, by their last words.
    const account_shares::rate_map& peerRates() const { return m_peerRates; }

    /// Routers that may be serving, this one among them: also those that are silent and may just be cut off.
    std::int64_t maxServingRouters() const;

private:
    struct member {
        entry_vm_id id;
        std::string address;
        failure_domain_id domain {};
        incarnation_id incarnation {};
        std::uint64_t sequence = 0;
        revision routes {};
        /// When the last beat came; unset while others have only named the router.
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
    std::unordered_map<wire_key, load> m_peerLoad;
    account_shares::rate_map m_peerRates;
    std::uint64_t m_sequence = 0;
    time_point m_nextHeartbeatAt {};
    bool m_isLeaving = false;
    bool m_havePeersChanged = true;
};

} // namespace kumquatbeam
