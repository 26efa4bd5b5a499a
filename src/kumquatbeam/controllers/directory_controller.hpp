#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"

#include <map>
#include <vector>

namespace kumquatbeam {

/// Owns the known state of the announced endpoints.
///
/// Draining is final for one incarnation of an endpoint, whichever announcement is read later. Announcements expire
/// while their writers cannot reach the directory, so an endpoint missing after an outage is kept for a grace period.
class directory_controller final : public controller {
public:
    /// Longest gap between two reads that does not count as an outage, as a fraction of the change propagation limit.
    /// Reads are closer together while the directory is reachable; after a longer gap, missing announcements may have
    /// expired because of an outage.
    static constexpr double outageFraction = 0.75;

    explicit directory_controller(const route_bounds&);

    std::string_view name() const override { return "directory"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;

    /// All endpoints that are announced or kept after an outage.
    const std::map<endpoint_id, announced_endpoint>& endpoints() const { return m_endpoints; }

    /// The endpoint, or null if it is gone.
    const announced_endpoint* find(const endpoint_id&) const;

private:
    void observe(const directory_observed&, decision_context&);
    bool applyAnnouncements(const endpoint_directory&, decision_context&);
    bool dropMissing(const endpoint_directory&, time_point readStartedAt, decision_context&);
    void publishChange(decision_context&);

    const route_bounds& m_bounds;
    std::map<endpoint_id, announced_endpoint> m_endpoints;
    time_point m_lastRead = never;
    /// End of the grace period in which endpoints that are missing since an outage are kept.
    time_point m_keepMissingUntil = time_point::min();
    /// Endpoints that are missing but kept, and the time at which each is dropped.
    std::map<endpoint_id, time_point> m_missing;
};

} // namespace kumquatbeam
