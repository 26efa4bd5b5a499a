#include "exit_code.hpp"

#include "kumquatbeam/capacity/capacity_slope.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"

#include <docopt/docopt.h>

#include <iomanip>
#include <iostream>

namespace {

constexpr char usage[] = R"(kumquatbeam-capacity: measures how the costs of this build grow with the fleet.

Usage:
  kumquatbeam-capacity [--strategy=NAME] [--only=SLOPE]
  kumquatbeam-capacity --help
  kumquatbeam-capacity --version

Options:
  --strategy=NAME  The strategy that divides slots between routers [default: local-only].
  --only=SLOPE     Measure only this slope.
  --help           Show this text.
  --version        Show the version.

Prints the points of each slope and the line fitted to them: the cost at size 0, the cost per unit of size, and the
largest relative distance of a point from the line. Processor time is the CPU time of the measuring thread.
Exit codes: 0 finished, 1 no such slope or strategy, 2 wrong command line.
)";

void print(const kumquatbeam::capacity_slope& slope)
{
    std::cout << slope.name << " (" << slope.costUnit << " by " << slope.sizeUnit << "):";
    for (const auto& [size, cost] : slope.points)
        std::cout << " " << size << "=" << cost;
    const auto fit = kumquatbeam::fitLine(slope.points);
    std::cout << "; base " << fit.base << ", each " << fit.perUnit << ", error " << fit.largestRelativeError
              << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatbeam;
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-capacity " KUMQUATBEAM_VERSION);
    const capacity_options options { arguments.at("--strategy").asString() };
    if (!makeCapacityStrategy(options.strategy)) {
        std::cerr << "--strategy: unknown strategy " << options.strategy << "\n";
        return exitRefused;
    }
    const auto& only = arguments.at("--only");
    bool hasMeasured = false;
    constexpr int digits = 5;
    std::cout << std::setprecision(digits);
    for (const auto part : { documentSlopes(), decisionSlopes(), strategySlopes(), frameSlopes() }) {
        for (const auto& row : part) {
            if (only && only.asString() != row.name)
                continue;
            print(row.measure(options));
            hasMeasured = true;
        }
    }
    return hasMeasured ? exitOk : exitRefused;
}
