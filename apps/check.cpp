#include "exit_code.hpp"

#include "kumquatbeam/checking/document_edit.hpp"
#include "kumquatbeam/checking/fault_report.hpp"
#include "kumquatbeam/checking/settings_reference.hpp"
#include "kumquatbeam/decisions/capacity_strategy.hpp"
#include "kumquatbeam/settings/fleet_document.hpp"
#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/settings/text_file.hpp"

#include <docopt/docopt.h>

#include <iostream>
#include <map>

namespace {

using namespace kumquatbeam;

constexpr char usage[] = R"(kumquatbeam-check: checks settings and the operators' document before they are used.

Usage:
  kumquatbeam-check settings FILE
  kumquatbeam-check document FILE
  kumquatbeam-check diff OLD NEW
  kumquatbeam-check edit --base=FILE --current=FILE --new=FILE --team=NAME
  kumquatbeam-check reference (router | document)
  kumquatbeam-check --help
  kumquatbeam-check --version

settings and document print every fault with its line, section, key, allowed range and owner. diff prints the changes in
meaning of each account, pool and endpoint. edit refuses a document that is based on an outdated one, or that changes
sections of other teams. reference prints the reference of the settings in Markdown.

Options:
  --base=FILE     The document that the edit is based on.
  --current=FILE  The document in force.
  --new=FILE      The document to be published.
  --team=NAME     The team that makes the edit; it may change only the sections that it owns.
  --help          Show this text.
  --version       Show the version.

Exit codes: 0 no fault or no difference, 1 faults were found, 2 wrong command line, 3 a file cannot be read,
5 the documents differ in meaning (diff).
)";

using argument_map = std::map<std::string, docopt::value>;

/// The document parsed from a file, and the exit code for its faults.
struct checked_file {
    int exitCode = exitOk;
    document_parse_result result {};
};

void printFaults(const std::string& path, const std::vector<failure>& faults, const std::string& text)
{
    for (const auto& fault : assignOwners(faults, text))
        std::cout << path << ": " << describe(fault) << "\n";
}

checked_file readDocument(const std::string& path)
{
    const auto text = readTextFile(path);
    if (!text.ok()) {
        std::cerr << text.status().message() << "\n";
        return { exitSettings };
    }
    checked_file file { exitOk, parseDocument({ 1 }, *text) };
    printFaults(path, file.result.faults, *text);
    if (!file.result.isAccepted())
        file.exitCode = exitRefused;
    return file;
}

int checkDocument(const argument_map& arguments)
{
    return readDocument(arguments.at("FILE").asString()).exitCode;
}

int checkSettings(const argument_map& arguments)
{
    const auto path = arguments.at("FILE").asString();
    const auto text = readTextFile(path);
    if (!text.ok()) {
        std::cerr << text.status().message() << "\n";
        return exitSettings;
    }
    std::vector<failure> faults;
    static_cast<void>(parseRouterSettings(*text, faults, capacityStrategyNames()));
    printFaults(path, faults, *text);
    return faults.empty() ? exitOk : exitRefused;
}

/// Prints the pools whose total capacity changes.
void printCapacityChanges(const fleet_document& before, const fleet_document& after)
{
    const auto newSlots = slotsOfPools(after);
    for (const auto& [pool, slots] : slotsOfPools(before)) {
        const auto other = newSlots.find(pool);
        if (other != newSlots.end() && other->second != slots)
            std::cout << "pool " << pool.value << ": capacity " << slots.value << " -> " << other->second.value
                      << " slots\n";
    }
}

int diffDocuments(const argument_map& arguments)
{
    const auto before = readDocument(arguments.at("OLD").asString());
    const auto after = readDocument(arguments.at("NEW").asString());
    if (before.exitCode != exitOk || after.exitCode != exitOk)
        return std::max(before.exitCode, after.exitCode);
    const auto changes
        = compareDocuments(canonicalFormOf(before.result.document), canonicalFormOf(after.result.document));
    for (const auto& change : changes)
        std::cout << describe(change) << "\n";
    printCapacityChanges(before.result.document, after.result.document);
    return changes.empty() ? exitOk : exitDiffers;
}

int checkTeamEdit(const argument_map& arguments)
{
    const auto base = readDocument(arguments.at("--base").asString());
    const auto current = readDocument(arguments.at("--current").asString());
    const auto proposed = readDocument(arguments.at("--new").asString());
    const auto worstExitCode = std::max({ base.exitCode, current.exitCode, proposed.exitCode });
    if (worstExitCode != exitOk)
        return worstExitCode;
    const auto faults = checkEdit({ { arguments.at("--team").asString() }, canonicalFormOf(base.result.document),
        canonicalFormOf(current.result.document), canonicalFormOf(proposed.result.document) });
    for (const auto& fault : faults)
        std::cout << describe(fault) << "\n";
    return faults.empty() ? exitOk : exitRefused;
}

int printReference(const argument_map& arguments)
{
    std::cout << (arguments.at("router").asBool() ? routerReference(capacityStrategyNames()) : documentReference());
    return exitOk;
}

/// A subcommand and its function. `reference document` also sets `document`, so `reference` is looked up first.
struct command_row {
    const char* name;
    int (*run)(const argument_map&);
};

constexpr command_row commands[] = {
    { "reference", printReference },
    { "settings", checkSettings },
    { "document", checkDocument },
    { "diff", diffDocuments },
    { "edit", checkTeamEdit },
};

} // namespace

int main(int argc, char** argv)
{
    const auto arguments
        = docopt::docopt(usage, { argv + 1, argv + argc }, true, "kumquatbeam-check " KUMQUATBEAM_VERSION);
    for (const auto& command : commands) {
        if (arguments.at(command.name).asBool())
            return command.run(arguments);
    }
    return exitUsage;
}
