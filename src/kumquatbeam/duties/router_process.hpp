#pragma once

#include "kumquatbeam/codec/native_dialect.hpp"
#include "kumquatbeam/controllers/decision_log.hpp"
#include "kumquatbeam/duties/callers_duty.hpp"
#include "kumquatbeam/duties/decisions_duty.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/duties/endpoints_duty.hpp"
#include "kumquatbeam/duties/operators_duty.hpp"
#include "kumquatbeam/duties/peers_duty.hpp"
#include "kumquatbeam/duties/platform_duty.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <absl/status/status.h>

#include <future>

namespace kumquatbeam {

/// A router: its duties, joined by their rings.
class router_process {
public:
    router_process(const router_settings&, incarnation_id, decision_log&);

    /// Opens all listening sockets; no duty starts before all of them are open.
    absl::Status listen();

    /// Runs until a shutdown finishes or is interrupted.
    operators_duty::exit_reason run();

private:
    std::promise<operators_duty::exit_reason> m_exitReason;
    control_traffic_counters m_controlTraffic;
    caller_resource_counters m_callerResources;
    duty_links m_links;
    native_caller_dialect m_callerDialect;
    native_endpoint_dialect m_endpointDialect;
    /// The thread shared by the callers and endpoints duties.
    duty_thread m_trafficThread;
    decisions_duty m_decisions;
    callers_duty m_callers;
    endpoints_duty m_endpoints;
    peers_duty m_peers;
    operators_duty m_operators;
    platform_duty m_platform;
};

/// Draws a random incarnation number.
incarnation_id drawIncarnation();

} // namespace kumquatbeam
