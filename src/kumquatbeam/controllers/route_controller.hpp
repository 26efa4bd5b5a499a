#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"

#include <memory>

namespace kumquatbeam {

/// Owns the active route table and the expiry of its account keys.
///
/// A newer table replaces the active one atomically; an older one is ignored. A read confirms that the keys in it were
/// the newest when the read began. Keys that are not confirmed expire, because a key may have been revoked.
class route_controller final : public controller {
public:
    explicit route_controller(const route_bounds&);

    std::string_view name() const override { return "routes"; }
    void handle(const decision_event&, decision_context&) override;
    void describe(status_report&) const override;

    /// The active table, or null before the first.
    const std::shared_ptr<const route_table>& current() const { return m_table; }

    /// The route table and its age, for the log of a decision at this time.
    decision_basis basis(time_point now) const;

    /// Time until which the account keys are fresh enough for the router to be ready.
    time_point freshUntil() const;

    /// Time until which a request authorised by an account key may be sent to an endpoint.
    time_point keysExpireAt() const;

private:
    void observe(const routes_observed&, decision_context&);

    const route_bounds& m_bounds;
    std::shared_ptr<const route_table> m_table;
    /// Start of the last read that returned the active table.
    time_point m_confirmedAt = time_point::min();
};

} // namespace kumquatbeam
