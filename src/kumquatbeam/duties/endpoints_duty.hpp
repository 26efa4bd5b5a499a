#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/sessions/endpoint_session.hpp"
#include "kumquatbeam/sessions/load_probe.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace kumquatbeam {

/// The duty of speaking with endpoints: attempts at calls, and queries for load.
class endpoints_duty final : public endpoint_host {
public:
    endpoints_duty(const router_settings&, incarnation, duty_links&);

    void start();
    void stop() { m_duty.stop(); }

    duty<endpoint_command>& inbox() { return m_duty; }

private:
    void relay(caller_command) override;
    void finish(attempt_ended) override;
    std::string streamIdOf(request_id) const override;
    std::uint64_t bodyLimit() const override { return static_cast<std::uint64_t>(m_settings.bodyLimit); }
    const std::string& sourceAddress() const override { return m_settings.sourceAddress; }

    void handle(endpoint_command);
    void begin(start_attempt);
    void watch(const watch_endpoints&);

    const router_settings& m_settings;
    incarnation m_life;
    duty_links& m_links;
    duty<endpoint_command> m_duty;
    std::unordered_map<request_id, std::shared_ptr<endpoint_session>> m_attempts;
    std::map<endpoint_id, std::shared_ptr<load_probe>> m_probes;
};

} // namespace kumquatbeam
