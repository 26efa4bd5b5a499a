#pragma once

#include "exit_code.hpp"

#include "kumquatbeam/duties/operators_duty.hpp"
#include "kumquatbeam/types/failure.hpp"

#include <csignal>
#include <iostream>
#include <vector>

namespace kumquatbeam {

/// Prints the faults of a daemon's settings and returns the exit code.
inline int printFaults(const std::vector<failure>& faults)
{
    for (const auto& fault : faults)
        std::cerr << "settings: " << describe(fault) << "\n";
    return exitSettings;
}

/// Listens and serves until a shutdown ends, and returns the exit code. `Process` has the interface of router_process.
template <typename Process> int runDaemon(Process& process)
{
    // A reader of standard output that goes away ends the log, not the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    const auto listening = process.listen();
    if (!listening.ok()) {
        std::cerr << listening.message() << "\n";
        return exitUnreachable;
    }
    return process.run() == operators_duty::exit_reason::Finished ? exitOk : exitInterrupted;
}

} // namespace kumquatbeam
