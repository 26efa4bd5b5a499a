#include "exit_code.hpp"

#include "kumquatbeam/load/load_run.hpp"
#include "kumquatbeam/settings/text_file.hpp"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char usage[] = R"(kumquatbeam-load: sends a mix of calls to a fleet and reports their outcomes.

Usage:
  kumquatbeam-load --routers=LIST --mix=FILE [--seconds=N] [--seed=S] [--orders=FILE]
  kumquatbeam-load --help
  kumquatbeam-load --version

Options:
  --routers=LIST  Callers' addresses of the routers: ADDRESS:PORT,ADDRESS:PORT.
  --mix=FILE      The streams of calls, in INI format.
  --seconds=N     Length of the run [default: 10].
  --seed=S        Seed of the random choices [default: 1].
  --orders=FILE   Write a line for each order: its id, its outcome, and each attempt as
                  ROUTER:OUTCOME:BEGAN:ENDED, with times in ms since the Unix epoch.
  --help          Show this text.
  --version       Show the version.

Prints one line with a JSON object for each stream. Exit codes: 0 finished, 2 wrong command line, 3 invalid mix.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatbeam;
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-load " KUMQUATBEAM_VERSION);
    load_plan plan { .routers = parseTargets(arguments.at("--routers").asString()) };
    if (plan.routers.empty()) {
        std::cerr << "--routers: allowed ADDRESS:PORT,ADDRESS:PORT\n";
        return exitUsage;
    }
    plan.duration = std::chrono::seconds(arguments.at("--seconds").asLong());
    plan.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    if (const auto orders = arguments.at("--orders"); orders.isString())
        plan.ordersFile = orders.asString();
    const auto text = readTextFile(arguments.at("--mix").asString());
    if (!text.ok()) {
        std::cerr << text.status().message() << "\n";
        return exitSettings;
    }
    auto mix = parseLoadMix(*text);
    for (const auto& fault : mix.faults)
        std::cerr << "mix: " << describe(fault) << "\n";
    if (!mix.faults.empty())
        return exitSettings;
    std::cout << load_run(std::move(plan), std::move(mix.streams)).run();
    return exitOk;
}
