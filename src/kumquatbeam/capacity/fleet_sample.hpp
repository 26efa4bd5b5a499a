#pragma once

#include "kumquatbeam/controllers/decision_core.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace kumquatbeam {

/// Size of a made-up fleet.
struct fleet_size {
    std::size_t accounts = 0;
    std::size_t endpoints = 0;
    std::size_t routers = 1;
    std::size_t pools = 4;
    std::size_t domains = 11;
};

/// The fleet that the users' letter asks for.
inline constexpr fleet_size targetFleet { .accounts = 3500, .endpoints = 7700, .routers = 740 };

/// Parts of the target that slopes over the whole fleet are measured at.
inline constexpr std::array<double, 4> targetFractions { 0.125, 0.25, 0.5, 1.0 };

/// The target with that part of its accounts, endpoints and routers.
fleet_size scaledTarget(double fraction);

/// Calls that one endpoint of the target runs at once.
inline constexpr std::size_t targetSlots = 80;

/// @{ Texts as operators and the platform would publish them.
std::string sampleDocument(const fleet_size&);
std::string sampleMembers(const fleet_size&);
/// @}

/// Credential of account number `index` of a sample document.
std::string sampleCredential(std::size_t index);

/// The view of one pool. The first `backlogged` accounts wait.
pool_view sampleView(const fleet_size&, std::size_t backlogged);

/// Settings of the first router of a sample member list.
router_settings sampleSettings(const std::string& strategy);

/// Takes commands and log records and does nothing with them but remember the last attempt.
class null_sink final : public command_sink, public decision_log {
public:
    void send(caller_command) override { }
    void send(endpoint_command command) override;
    void send(peer_command) override { ++m_peerMessages; }
    void send(operator_command) override { }

    void placed(const placement_record&) override { }
    void refused(const refusal_record&) override { ++m_refusals; }
    void ended(const outcome_record&) override { }
    void changed(const change_record&) override { }
    void failed(std::string_view, const failure&) override { }

    const start_attempt& lastAttempt() const { return m_lastAttempt; }
    std::size_t refusals() const { return m_refusals; }
    std::size_t peerMessages() const { return m_peerMessages; }

private:
    start_attempt m_lastAttempt {};
    std::size_t m_refusals = 0;
    std::size_t m_peerMessages = 0;
};

/// A decision core that has read a sample document and member list.
class sample_core {
public:
    sample_core(const fleet_size&, const std::string& strategy);

    void handle(const decision_event& event) { m_core.handle(event, now()); }

    /// Has every deadline come due.
    void runNextDeadline() { m_core.onDeadline(std::max(now(), m_core.nextDeadline())); }

    /// Admits one request of account number `account`.
    request_id admit(std::size_t account);

    /// Ends the call that was started last.
    void finish();

    /// Publishes the document again under the next revision.
    void republishDocument();

    const null_sink& outlet() const { return m_sink; }

private:
    time_point now() const { return clock::now() + m_clockOffset; }
    void skipPeerWait();

    /// How far the core's clock is ahead: it has to wait for peers that never speak before its document is in force.
    std::chrono::milliseconds m_clockOffset { 0 };
    std::string m_document;
    null_sink m_sink;
    decision_core m_core;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastRequest = 0;
};

} // namespace kumquatbeam
