#include "kumquatbeam/settings/fleet_document.hpp"

#include "kumquatbeam/types/wire_key.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace kumquatbeam;

const std::string digest(64, 'a');

std::string goodDocument()
{
    return "[account weavers]\nowner=accounts\nshare=2000\ncredential-sha256=" + digest
        + "\n[pool model]\nowner=models\nrepeatable=yes\n"
          "[endpoint e1]\nowner=endpoints\npool=model\ndomain=north\naddress=127.0.0.1\nport=9000\nslots=8\n";
}

} // namespace

TEST_CASE("A valid document is accepted with its values and defaults [fleet_document]")
{
    const auto result = parseDocument({ 5 }, goodDocument());
    REQUIRE(result.isAccepted());
    CHECK(result.document.revisionNumber == revision { 5 });
    CHECK(result.document.accounts.at({ "weavers" }).share == account_share { 2000 });
    CHECK(result.document.accounts.at({ "weavers" }).queueLimit == 200);
    CHECK(result.document.endpoints.at({ "e1" }).slots == slot_count { 8 });
}

TEST_CASE("Every error is reported with line, section, key and range [fleet_document]")
{
    const auto result = parseDocument(
        { 1 }, "[account a]\nowner=t\nshare=0\ncredential-sha256=" + digest + "\ncolour=red\n[shop b]\nx=1\n");
    REQUIRE(result.faults.size() == 3);
    CHECK(result.faults[0]
        == failure { failure_kind::ValueOutOfRange, "line 3 [account a] share", "0", "1 to 1000000000 thousandths" });
    CHECK(result.faults[1].kind == failure_kind::UnknownSetting);
    CHECK(result.faults[1].place == "line 5 [account a] colour");
    CHECK(result.faults[2].kind == failure_kind::UnknownSection);
}

TEST_CASE("A duplicate section is refused with its line [fleet_document]")
{
    const auto result = parseDocument({ 1 }, goodDocument() + "[pool model]\nowner=x\nrepeatable=no\n");
    REQUIRE(result.faults.size() == 1);
    CHECK(result.faults[0].kind == failure_kind::SyntaxError);
    CHECK(result.faults[0].place == "line 15");
}

TEST_CASE("A section without keys is not ignored [fleet_document]")
{
    const auto unknown = parseDocument({ 1 }, "[shop a]\n");
    REQUIRE(unknown.faults.size() == 1);
    CHECK(unknown.faults[0].kind == failure_kind::UnknownSection);
    const auto empty = parseDocument({ 1 }, "[pool model]\n" + goodDocument());
    REQUIRE(empty.faults.size() == 1);
    CHECK(empty.faults[0].kind == failure_kind::SyntaxError);
    const auto account = parseDocument({ 1 }, "[account a]\n");
    REQUIRE(account.faults.size() == 3);
    CHECK(account.faults[0] == failure { failure_kind::MissingSetting, "line 1 [account a] owner" });
}

TEST_CASE("An endpoint of an unknown pool is refused [fleet_document]")
{
    const auto result = parseDocument({ 1 },
        goodDocument() + "[endpoint e2]\nowner=e\npool=none\ndomain=north\naddress=127.0.0.1\nport=1\nslots=1\n");
    REQUIRE(result.faults.size() == 1);
    CHECK(result.faults[0].kind == failure_kind::UnknownReference);
}

namespace {

std::string accountSection(const std::string& name, const std::string& credential)
{
    return "[account " + name + "]\nowner=accounts\nshare=1\ncredential-sha256=" + credential + "\n";
}

std::vector<failure_kind> faultKinds(const std::string& text)
{
    std::vector<failure_kind> kinds;
    for (const auto& fault : parseDocument({ 1 }, text).faults)
        kinds.push_back(fault.kind);
    return kinds;
}

} // namespace

TEST_CASE("Two accounts with the same credential are refused [fleet_document]")
{
    CHECK(faultKinds(accountSection("a", digest) + accountSection("b", digest))
        == std::vector { failure_kind::DuplicateName });
}

TEST_CASE("A digest that is not lower-case hexadecimal is refused [fleet_document]")
{
    CHECK(faultKinds(accountSection("a", std::string(64, 'g'))) == std::vector { failure_kind::MalformedValue });
    CHECK(faultKinds(accountSection("a", std::string(64, 'A'))) == std::vector { failure_kind::MalformedValue });
}

TEST_CASE("A lease shorter than two exchange periods is refused [fleet_document]")
{
    const std::string pool = "[pool p]\nowner=o\nrepeatable=yes\nbeat-ms=100\nlease-ms=";
    CHECK(faultKinds(pool + "199\n") == std::vector { failure_kind::ValueOutOfRange });
    CHECK(faultKinds(pool + "200\n").empty());
}

TEST_CASE("Names whose wire keys collide are refused [fleet_document]")
{
    // The two names differ and have the same 32-bit FNV-1a hash.
    REQUIRE(wireKeyOf(std::string("costarring")) == wireKeyOf(std::string("liquid")));
    CHECK(faultKinds(accountSection("costarring", digest) + accountSection("liquid", std::string(64, 'b')))
        == std::vector { failure_kind::DuplicateName });
}

TEST_CASE("Comments are skipped, and a section without keys is checked [fleet_document]")
{
    CHECK(faultKinds("; a comment\n# another\n" + accountSection("a", digest) + "; the end\n").empty());
    CHECK(faultKinds(accountSection("a", digest) + "[pool p]\n").size() == 2);
}

TEST_CASE("A duplicate name with different spacing is refused [fleet_document]")
{
    CHECK(faultKinds(accountSection("a", digest) + accountSection(" a", std::string(64, 'b')))
        == std::vector { failure_kind::DuplicateName });
}
