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
    virtual void addLoad(fleet_heartbeat&, time_point now) = 0;
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

    /// Time after the start until a router with seeds has heard of all others. The lists in heartbeats carry the
    /// members from router to router within a few periods.
    static constexpr std::chrono::seconds discoveryTime { 6 };

    /// Delay of a heartbeat after which the process counts as paused. What it knows of the members may be outdated, so
    /// it discovers them again.
    static constexpr std::chrono::seconds longestPause { 30 };

    /// Load that other routers have placed on one endpoint.
    struct load {
        std::int64_t running = 0;
        token_count prefillTokens;
    };

    /// Time for which a reported rate is kept. Users apply it when it arrives.
    static constexpr std::chrono::seconds rateRetention { 10 };

    /// The prefill rate of an endpoint that another router has reported last.
    struct reported_rate {
        /// Prompt tokens per millisecond.
        std::uint16_t rate = 0;
        /// Increases with each report of any endpoint.
        std::uint64_t number = 0;
        time_point at {};
    };

    fleet_controller(const router_settings&, incarnation_id, std::vector<std::string> seeds);

    /// Sets the source of the load in heartbeats; must be called before the first event.
    void setLoadSource(load_source& source) { m_loadSource = &source; }

    std::string_view name() const override { return "fleet"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// Load that the other routers have placed on an endpoint, from their latest heartbeats.
    load peerLoad(wire_key endpoint) const;

    /// The rate that another router has reported last for an endpoint, or null if none was lately.
    const reported_rate* peerRate(wire_key endpoint) const;

    /// Number of the last reported rate.
    std::uint64_t lastRateNumber() const { return m_lastRateNumber; }

    /// Requested and admitted rates of each account at the other routers, from their latest heartbeats.
    const account_shares::rate_map& peerRates() const { return m_peerRates; }

    /// Upper bound of the number of serving routers, including this one and silent ones that may only be cut off.
    std::int64_t maxServingRouters() const;

    /// Every router that may exist, except this one: all that were heard or listed within the retention.
    std::vector<entry_vm_id> otherRouters() const;

    /// Changes with `otherRouters`.
    std::uint64_t membersVersion() const { return m_membersVersion; }

    /// Whether this router has had the time to hear of all others since its start.
    bool knowsMembers(time_point now) const { return m_seeds.empty() || now >= m_membersKnownAt; }

    const entry_vm_id& self() const { return m_settings.self; }

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
    load_source* m_loadSource = nullptr;
    std::map<entry_vm_id, member> m_members;
    /// When it was last logged that no more routers can be known.
    time_point m_fullLoggedAt {};
    std::unordered_map<wire_key, load> m_peerLoad;
    std::unordered_map<wire_key, reported_rate> m_reportedRates;
    std::uint64_t m_lastRateNumber = 0;
    account_shares::rate_map m_peerRates;
    std::uint64_t m_sequence = 0;
    time_point m_nextHeartbeatAt {};
    /// End of the discovery time; `never` until the first heartbeat.
    time_point m_membersKnownAt = never;
    std::uint64_t m_membersVersion = 0;
    bool m_isLeaving = false;
    bool m_havePeersChanged = true;
};

} // namespace kumquatbeam
