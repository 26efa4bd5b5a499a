#include "exit_code.hpp"

#include "kumquatbeam/codec/status_table.hpp"
#include "kumquatbeam/load/load_run.hpp"
#include "kumquatbeam/sessions/operator_client.hpp"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char usage[] = R"(kumquatbeam-status: shows the status of a running router.

Usage:
  kumquatbeam-status [--json | --metrics] ADDRESS
  kumquatbeam-status --help
  kumquatbeam-status --version

ADDRESS is the router's operator address, ADDRESS:PORT. Prints a short table: revisions, accounts with their shares,
queues and service, endpoints, peers, and unreachable peers.

Options:
  --json     Print the whole status as JSON.
  --metrics  Print the metrics in the Prometheus text format.
  --help     Show this text.
  --version  Show the version.

Exit codes: 0 answered, 1 the answer does not match this version, 2 wrong command line, 4 the router is unreachable.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatbeam;
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-status " KUMQUATBEAM_VERSION);
    const auto routers = parseTargets(arguments.at("ADDRESS").asString());
    if (routers.size() != 1) {
        std::cerr << "ADDRESS: allowed ADDRESS:PORT\n";
        return exitUsage;
    }
    const bool wantsMetrics = arguments.at("--metrics").asBool();
    const auto page = fetchOperatorPage(routers.front(), wantsMetrics ? "/metrics" : "/status");
    if (!page.ok()) {
        std::cerr << "router unreachable: " << page.status().message() << "\n";
        return exitUnreachable;
    }
    if (wantsMetrics || arguments.at("--json").asBool()) {
        std::cout << *page;
        return exitOk;
    }
    const auto table = formatStatusTable(*page);
    if (!table.ok()) {
        std::cerr << table.status().message() << "\n";
        return exitRefused;
    }
    std::cout << *table;
    return exitOk;
}
