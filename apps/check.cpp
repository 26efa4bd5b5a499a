#include "exit_code.hpp"

#include "kumquatbeam/settings/fleet_document.hpp"
#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/settings/text_file.hpp"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char usage[] = R"(kumquatbeam-check: checks settings and the operators' document before they are used.

Usage:
  kumquatbeam-check settings FILE
  kumquatbeam-check document FILE
  kumquatbeam-check --help
  kumquatbeam-check --version

Prints every fault with its line, section, key and allowed range.
Exit codes: 0 no fault, 1 faults were found, 2 wrong command line, 3 the file cannot be read.
)";

std::vector<kumquatbeam::failure> faultsOf(bool isDocument, const std::string& text)
{
    if (isDocument)
        return kumquatbeam::parseDocument({ 1 }, text).faults;
    std::vector<kumquatbeam::failure> faults;
    static_cast<void>(kumquatbeam::parseRouterSettings(text, faults));
    return faults;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace kumquatbeam;
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-check " KUMQUATBEAM_VERSION);
    const auto text = readTextFile(arguments.at("FILE").asString());
    if (!text.ok()) {
        std::cerr << text.status().message() << "\n";
        return exitSettings;
    }
    const auto faults = faultsOf(arguments.at("document").asBool(), *text);
    for (const auto& fault : faults)
        std::cout << describe(fault) << "\n";
    return faults.empty() ? exitOk : exitRefused;
}
