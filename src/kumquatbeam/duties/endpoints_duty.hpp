#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/sessions/answer_memory.hpp"
#include "kumquatbeam/sessions/connection_pool.hpp"
#include "kumquatbeam/sessions/endpoint_session.hpp"
#include "kumquatbeam/sessions/load_probe.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// The duty that talks to endpoints: attempts at calls, and load probes.
class endpoints_duty final : public endpoint_session_delegate {
public:
    /// Runs on the traffic thread, which is shared with the callers duty, so that the chunks of an answer pass from one
    /// connection to the other without waking another thread.
    endpoints_duty(
        const router_settings&, incarnation_id, const endpoint_dialect&, duty_thread& trafficThread, duty_links&);

    void start();

    duty<endpoint_command>& inbox() { return m_duty; }

private:
    const endpoint_dialect& dialect() const override { return m_dialect; }
    void relay(caller_command) override;
    void finish(attempt_ended) override;
    void notice(endpoint_noticed) override;
    std::string streamIdOf(request_id) const override;
    std::uint64_t bodyLimit() const override { return static_cast<std::uint64_t>(m_settings.bodyLimit); }
    const std::string& sourceAddress() const override { return m_settings.sourceAddress; }
    void recordHeldBytes(request_id, byte_count) override;
    std::shared_ptr<endpoint_connection> takeConnection(const start_attempt&) override;
    void keepConnection(std::shared_ptr<endpoint_connection>, const keep_alive_policy&) override;

    void handle(endpoint_command);
    void startAttempt(start_attempt);
    void limitIdleConnections();
    void allowOnly(const std::vector<endpoint_address>&);
    void updateProbes(const probe_endpoints&);
    void sweepConnections();

    const router_settings& m_settings;
    incarnation_id m_incarnation;
    const endpoint_dialect& m_dialect;
    duty_links& m_links;
    duty<endpoint_command> m_duty;
    std::unordered_map<request_id, std::shared_ptr<endpoint_session>> m_attempts;
    std::map<endpoint_id, std::shared_ptr<load_probe>> m_probes;
    connection_pool m_connections;
    answer_memory m_answerMemory;
    deadline_timer m_sweepTimer;
    bool m_isSweeping = false;
};

} // namespace kumquatbeam
