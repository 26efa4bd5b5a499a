#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/decisions/departed_endpoints.hpp"
#include "kumquatbeam/decisions/unwritten_entries.hpp"
#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/types/peer_message.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// Owns the known state of the announced endpoints and of the evacuated failure domains.
///
/// Draining is final for one incarnation of an endpoint, whichever announcement is read later. It is learned from the
/// announcements, from what the endpoint says in its answers, and from other routers. Announcements expire while their
/// writers cannot reach the directory, so an endpoint missing after an outage is kept for a grace period that counts
/// from the end of the outage.
///
/// A restore of the directory from an older copy counts as an outage. Incarnations that had left before it are not used
/// from the copy (see `departed_endpoints`), nor are those that do not write their entries again (see
/// `unwritten_entries`), and evacuations that it lost end only after the stability window.
class directory_controller final : public controller {
public:
    /// Longest gap between two reads that does not count as an outage, as a fraction of the change propagation limit.
    /// Reads are closer together while the directory is reachable; after a longer gap, missing announcements may have
    /// expired because of an outage.
    static constexpr double outageFraction = 0.75;

    /// Time for which an incarnation that has said that it is leaving is remembered after it was last heard of. Longer
    /// than an endpoint takes to leave, even if its announcement is missing in between.
    static constexpr std::chrono::minutes leavingRetention { 10 };

    /// Time from the decision to drop an endpoint until the last call decided before has been sent or withdrawn.
    static constexpr std::chrono::milliseconds withdrawalMargin { 200 };

    /// Longest time between the starts of two reads while announcements may come back after an outage.
    static constexpr std::chrono::milliseconds settlingPeriod { 400 };

    /// Time for which the end of an evacuation is remembered. Longer than any endpoint is cold after a start.
    static constexpr std::chrono::hours evacuationEndRetention { 1 };

    explicit directory_controller(const route_bounds&);

    std::string_view name() const override { return "directory"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// All endpoints that are announced or kept after an outage.
    const std::map<endpoint_id, announced_endpoint>& endpoints() const { return m_endpoints; }

    /// Adds the endpoints that have said in answers that they are leaving to a heartbeat.
    void addLeaving(fleet_heartbeat&) const;

    /// Whether the failure domain is evacuated.
    bool isEvacuated(const failure_domain_id& domain) const { return m_evacuatedUntil.contains(domain); }

    /// The endpoint, or null if it is gone.
    const announced_endpoint* find(const endpoint_id&) const;

    /// When the last evacuation of the failure domain ended; `time_point::min()` if none has ended lately.
    time_point evacuationEndedAt(const failure_domain_id&) const;

private:
    /// An incarnation that is leaving.
    struct leaving_incarnation {
        std::int64_t incarnation = 0;
        time_point forgetAt = never;
    };

    void observe(const directory_observed&, decision_context&);
    bool updateEra(source_era, decision_context&);
    void holdDeparted(const endpoint_directory&, decision_context&);
    void watchUnwritten(const directory_observed&);
    bool holdUnwritten(const directory_observed&, decision_context&);
    bool applyEvacuations(const std::set<failure_domain_id>& announced, time_point keepLostUntil, decision_context&);
    bool endEvacuations(decision_context&);
    void receiveLeaving(const fleet_heartbeat&, decision_context&);
    void recordLeaving(const endpoint_id&, std::int64_t incarnation, std::string_view source, decision_context&);
    bool isLeaving(const endpoint_id&, std::int64_t incarnation) const;
    time_point keepMissingUntil(time_point readStartedAt, time_point earliestEnd) const;
    bool applyAnnouncements(const endpoint_directory&, decision_context&);
    bool dropMissing(const endpoint_directory&, time_point readStartedAt, decision_context&);
    void publishChange(decision_context&);

    const route_bounds& m_bounds;
    std::map<endpoint_id, announced_endpoint> m_endpoints;
    /// Endpoints that have said in answers, here or at another router, that they are leaving.
    std::map<endpoint_id, leaving_incarnation> m_leaving;
    /// Evacuated failure domains, each with `never`, or with the time until which it is kept after a restore lost it.
    std::map<failure_domain_id, time_point> m_evacuatedUntil;
    departed_endpoints m_departed;
    unwritten_entries m_unwritten;
    source_era m_era {};
    /// Number of eras of the directory that this process has seen, one after another.
    std::uint64_t m_erasSeen = 0;
    time_point m_lastRead = never;
    /// A read that starts later comes after an outage. Set with each read, since the bounds that are in force then also
    /// determine when the next one starts.
    time_point m_nextReadDueBy = never;
    /// End of the grace period in which endpoints that are missing since an outage are kept.
    time_point m_keepMissingUntil = time_point::min();
    /// Endpoints that are missing but kept, and the time at which each is dropped.
    std::map<endpoint_id, time_point> m_missing;
    std::map<failure_domain_id, time_point> m_evacuationEnds;
};

} // namespace kumquatbeam
