#pragma once

#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/member_list.hpp"

#include <map>
#include <set>

namespace kumquatbeam {

/// Owns what this router believes about the other entry VMs and about endpoints that are leaving.
class membership_controller final : public controller {
public:
    membership_controller(entry_vm_id self, const configuration_controller&);

    std::string_view name() const override { return "membership"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override { return m_heartbeatAt; }
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    const member_list& members() const { return m_members; }

    /// Whether any source has said that the endpoint is leaving.
    bool isLeaving(const endpoint_id&) const;

    /// Peers with a connection that has been greeted, and their incarnations.
    const std::map<entry_vm_id, peer_greeting>& connectedPeers() const { return m_connected; }

private:
    void publish(const members_published&, decision_context&);

    entry_vm_id m_self;
    const configuration_controller& m_configuration;
    member_list m_members;
    std::map<entry_vm_id, peer_greeting> m_connected;
    std::set<endpoint_id> m_leavingByOwnReport;
    time_point m_heartbeatAt = time_point::min();
};

} // namespace kumquatbeam
