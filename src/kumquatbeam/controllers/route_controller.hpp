#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/fleet_controller.hpp"
#include "kumquatbeam/decisions/heard_seeds.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"

#include <memory>
#include <string>
#include <vector>

namespace kumquatbeam {

/// Owns the active route table and the expiry of its account keys.
///
/// A newer table replaces the active one atomically; an older one is ignored. A read confirms that the keys in it were
/// the newest when the read began. Keys that are not confirmed expire, because a key may have been revoked.
///
/// The store may be restored from an older copy, which starts a newer era; the revisions after the copy are then
/// assigned again. The same version in a newer era replaces the table. An older version confirms nothing, and neither
/// does a table older than one that another router has named as in force before the read began: a configuration that
/// has merely changed is in the next read.
///
/// A process that starts in a restored store may read the older copy. It confirms no keys until every seed has named
/// the table that it has in force, or `hearingTime` has passed.
class route_controller final : public controller {
public:
    /// Time after the first read for which a router that starts in a restored store waits to hear from its seeds: two
    /// heartbeat periods of the largest fleet.
    static constexpr std::chrono::milliseconds hearingTime { 2 * fleet_controller::longestPeriod };

    /// `seeds` are the addresses of routers from which to discover the others.
    route_controller(const route_bounds&, const std::string& ownAddress, std::vector<std::string> seeds);

    std::string_view name() const override { return "routes"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    /// The active table, or null before the first.
    const std::shared_ptr<const route_table>& current() const { return m_table; }

    /// The version that this router tells the others, or zero while it cannot know whether its table is the newest.
    revision knownVersion() const;

    /// The route table and its age, for the log of a decision at this time.
    decision_basis basis(time_point now) const;

    /// Time until which the account keys are fresh enough for the router to be ready.
    time_point freshUntil() const;

    /// Time until which a request authorised by an account key may be sent to an endpoint.
    time_point keysExpireAt() const;

private:
    /// The newest table that other routers name as in force.
    struct named_table {
        revision version {};
        /// When this version was first heard of.
        time_point heardAt = never;
        time_point forgetAt = time_point::min();
    };

    void observe(const routes_observed&, decision_context&);
    void replaceTable(const std::shared_ptr<const route_table>&, source_era, decision_context&);
    void receiveNamed(const fleet_heartbeat&, decision_context&);
    void confirmAfterHearing(decision_context&);
    bool isStartingIn(source_era, time_point now) const;
    bool isHearing(time_point now) const;
    bool isOlderThanNamed(const routes_observed&, time_point now) const;

    const route_bounds& m_bounds;
    std::shared_ptr<const route_table> m_table;
    /// Era of the store in the last read that returned the active table.
    source_era m_era {};
    /// Start of the last read that showed no table older than the newest known one.
    time_point m_newestReadAt = time_point::min();
    /// Start of the last read that confirmed the active table.
    time_point m_confirmedAt = time_point::min();
    /// Start of the first read of this process.
    time_point m_firstReadAt = never;
    named_table m_named;
    heard_seeds m_heardSeeds;
};

} // namespace kumquatbeam
