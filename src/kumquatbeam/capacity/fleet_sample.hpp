#pragma once

#include "kumquatbeam/controllers/decision_core.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace kumquatbeam {

/// Size of a synthetic fleet.
struct fleet_size {
    std::size_t accounts = 0;
    std::size_t endpoints = 0;
    std::size_t routers = 1;
    std::size_t pools = 4;
    std::size_t domains = 11;
};

/// The required fleet size.
inline constexpr fleet_size targetFleet { .accounts = 3500, .endpoints = 7700, .routers = 740 };

/// Fractions of the target at which slopes over the whole fleet are measured.
inline constexpr std::array<double, 4> targetFractions { 0.125, 0.25, 0.5, 1.0 };

/// The target with this fraction of its accounts, endpoints and routers.
fleet_size scaledTarget(double fraction);

/// Slots of each endpoint of the target: the number of calls that it runs at once.
inline constexpr std::size_t targetSlots = 80;

/// @{ Sample texts in the formats that operators and the platform publish.
std::string sampleDocument(const fleet_size&);
std::string sampleMembers(const fleet_size&);
/// @}

/// Credential of the account with this index in a sample document.
std::string sampleCredential(std::size_t index);

/// The view of one pool. The first `backlogged` accounts have waiting requests.
pool_view sampleView(const fleet_size&, std::size_t backlogged);

/// Settings of the first router of a sample member list.
router_settings sampleSettings(const std::string& strategy);

/// Discards commands and log records; keeps only the last attempt and counts.
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

/// A decision core with a sample document and member list in force.
class sample_core {
public:
    sample_core(const fleet_size&, const std::string& strategy);

    void handle(const decision_event& event) { m_core.handle(event, now()); }

    /// Runs the core's next deadline, even if it is not due yet.
    void runNextDeadline() { m_core.onDeadline(std::max(now(), m_core.nextDeadline())); }

    /// Admits a request of the account with this index.
    request_id admit(std::size_t account);

    /// Completes the call that was started last.
    void finish();

    /// Publishes the same document under the next revision.
    void republishDocument();

    const null_sink& sink() const { return m_sink; }

private:
    time_point now() const { return clock::now() + m_clockOffset; }
    void skipPeerWait();

    /// Lead of the core's clock, which skips the wait at startup: no peer ever connects, and the document comes into
    /// force only after that wait.
    std::chrono::milliseconds m_clockOffset { 0 };
    std::string m_document;
    null_sink m_sink;
    decision_core m_core;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastRequest = 0;
};

} // namespace kumquatbeam
