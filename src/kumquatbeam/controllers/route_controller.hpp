#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/route_bounds.hpp"
#include "kumquatbeam/settings/route_table.hpp"

#include <memory>

namespace kumquatbeam {

/// Owns the route table in force, and how long its account keys may be believed.
///
/// A newer table replaces it in one step; nothing takes it back to an older one. A read proves that the keys which it
/// shows were the newest when the read began. Without such a proof they end: a key may have been taken away.
class route_controller final : public controller {
public:
    explicit route_controller(const route_bounds&);

    std::string_view name() const override { return "routes"; }
    void handle(const decision_event&, decision_context&) override;
    void describe(status_report&) const override;

    /// The table in force, or null before the first.
    const std::shared_ptr<const route_table>& current() const { return m_table; }

    /// What a decision at this time rests on.
    decision_basis basis(time_point now) const;

    /// Until when the account keys are fresh enough for the router to be called ready.
    time_point freshUntil() const;

    /// Until when a request that one of the account keys allows may be sent to an endpoint.
    time_point keysExpireAt() const;

private:
    void observe(const routes_observed&, decision_context&);

    const route_bounds& m_bounds;
    std::shared_ptr<const route_table> m_table;
    /// When the read began that last showed the table in force.
    time_point m_confirmedAt = time_point::min();
};

} // namespace kumquatbeam
