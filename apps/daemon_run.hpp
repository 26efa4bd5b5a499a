#pragma once

#include "exit_code.hpp"

#include "kumquatbeam/duties/operators_duty.hpp"
#include "kumquatbeam/sessions/block_buffer.hpp"
#include "kumquatbeam/types/failure.hpp"

#include <malloc.h>

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
    // By default, the allocator takes blocks of bodies from the heap once a large body was freed, and then keeps them.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(block_buffer::blockSize));
    const auto listening = process.listen();
    if (!listening.ok()) {
        std::cerr << listening.message() << "\n";
        return exitUnreachable;
    }
    return process.run() == operators_duty::exit_reason::Finished ? exitOk : exitInterrupted;
}

} // namespace kumquatbeam
