#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/dispatch_pool.hpp"

#include <map>
#include <string_view>

namespace kumquatbeam {

using dispatch_pools = std::map<pool_id, dispatch_pool>;

/// Adds the state of the pools to an operator's report.
void describePools(const dispatch_pools&, status_report&);

/// Adds the load of the pools to a heartbeat, with the rates measured since the last one.
void addPoolLoad(dispatch_pools&, fleet_heartbeat&, time_point now);

/// Logs the endpoints that have become cold or warm since the last call. Returns when the next one becomes warm.
time_point logColdChanges(dispatch_pools&, std::string_view part, decision_context&);

} // namespace kumquatbeam
