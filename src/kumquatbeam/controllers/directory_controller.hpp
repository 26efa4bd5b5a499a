#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"

#include <map>
#include <vector>

namespace kumquatbeam {

/// Owns what is believed about the announced endpoints.
///
/// Leaving is final for one life of an endpoint, from whichever source it is heard. Announcements lapse while their
/// writers cannot reach the directory, so an endpoint that is missing after an outage is kept for a moment.
class directory_controller final : public controller {
public:
    /// Part of the time in which changes have to be in force. Reads are less far apart than this while the directory
    /// can be reached; after a longer gap, missing announcements may have lapsed for want of it.
    static constexpr double outageFraction = 0.75;

    explicit directory_controller(const route_bounds&);

    std::string_view name() const override { return "directory"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;

    /// Every endpoint that is not known to be gone.
    const std::map<endpoint_id, announced_endpoint>& endpoints() const { return m_endpoints; }

    /// The endpoint, or null when it is gone.
    const announced_endpoint* find(const endpoint_id&) const;

private:
    void observe(const directory_observed&, decision_context&);
    bool applyAnnouncements(const endpoint_directory&, decision_context&);
    bool dropMissing(const endpoint_directory&, time_point readStartedAt, decision_context&);
    void publishChange(decision_context&);

    const route_bounds& m_bounds;
    std::map<endpoint_id, announced_endpoint> m_endpoints;
    time_point m_lastRead = never;
    /// Until then, endpoints that are missing since an outage are kept.
    time_point m_keepMissingUntil = time_point::min();
    /// When the endpoints that are missing and kept for now are dropped.
    std::map<endpoint_id, time_point> m_missing;
};

} // namespace kumquatbeam
