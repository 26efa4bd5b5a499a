#include "daemon_run.hpp"

#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/duties/router_process.hpp"
#include "kumquatbeam/runtime/log_writer.hpp"
#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/settings/text_file.hpp"

#include <docopt/docopt.h>

namespace {

constexpr char usage[] = R"(kumquatbeam-router: the router daemon.

Usage:
  kumquatbeam-router --settings=FILE
  kumquatbeam-router --help
  kumquatbeam-router --version

Options:
  --settings=FILE  Settings of this process, in INI format.
  --help           Show this text.
  --version        Show the version.

Exit codes: 0 finished after a shutdown, 2 wrong command line, 3 invalid settings, 4 cannot listen on an address,
6 shutdown interrupted by SIGINT.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatbeam;
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-router " KUMQUATBEAM_VERSION);
    const auto text = readTextFile(arguments.at("--settings").asString());
    if (!text.ok())
        return printFaults({ failureOf(text.status()).value_or(failure {}) });
    std::vector<failure> faults;
    const auto settings = parseRouterSettings(*text, faults, capacityStrategyNames());
    if (!settings.ok())
        return printFaults(faults);

    const log_sink sink(*settings);
    log_writer log(settings->logRate);
    router_process process(*settings, drawIncarnation(), log);
    return runDaemon(process);
}
