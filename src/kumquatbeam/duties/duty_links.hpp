#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/runtime/duty.hpp"

namespace kumquatbeam {

/// The rings by which duties reach each other. Filled before any duty starts.
struct duty_links {
    duty<decision_event>* decisions = nullptr;
    duty<caller_command>* callers = nullptr;
    duty<endpoint_command>* endpoints = nullptr;
    duty<peer_command>* peers = nullptr;
    duty<operator_command>* operators = nullptr;
};

} // namespace kumquatbeam
