#include "kumquatbeam/checking/document_edit.hpp"
#include "kumquatbeam/checking/fault_report.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <doctest/doctest.h>

#include <array>

namespace {

using namespace kumquatbeam;

std::string account(const std::string& name, int share, const std::string& owner = "accounts")
{
    static const std::string digest(64, 'a');
    return "[account " + name + "]\nowner=" + owner + "\nshare=" + std::to_string(share)
        + "\ncredential-sha256=" + digest.substr(name.size()) + name + "\n";
}

canonical_document canonicalFormIn(const std::string& text)
{
    const auto result = parseDocument({ 1 }, text);
    return canonicalFormOf(result.document);
}

std::vector<failure> edit(const std::string& base, const std::string& current, const std::string& proposed)
{
    return checkEdit({ { "accounts" }, canonicalFormIn(base), canonicalFormIn(current), canonicalFormIn(proposed) });
}

} // namespace

TEST_CASE("Documents with different texts but the same contents do not differ [checking]")
{
    const auto before = canonicalFormIn(account("a", 1000) + account("b", 5));
    CHECK(
        compareDocuments(before, canonicalFormIn(account("b", 5) + account("a", 1000) + "queue-limit=200\n")).empty());

    const auto changes = compareDocuments(before, canonicalFormIn(account("a", 2000) + account("c", 5)));
    REQUIRE(changes.size() == 3);
    CHECK(describe(changes[0]) == "account a: share 1000 -> 2000");
    CHECK(describe(changes[1]) == "account b: removed");
    CHECK(describe(changes[2]) == "account c: added");
}

TEST_CASE("An owner's edit of the document in force is accepted [checking]")
{
    const auto base = account("a", 1) + account("b", 1, "others");
    CHECK(edit(base, base, account("a", 2) + account("b", 1, "others") + account("c", 1)).empty());
    CHECK(edit(base, account("a", 2) + account("b", 1, "others"), account("a", 2) + account("b", 1, "others")).empty());
}

TEST_CASE("An edit of an older document is refused if it would overwrite or revert an update [checking]")
{
    const auto base = account("a", 1) + account("b", 1);
    const auto current = account("a", 5) + account("b", 1);
    const auto lost = edit(base, current, account("a", 2) + account("b", 1));
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].kind == failure_kind::StaleRevision);
    CHECK(lost[0].place == "[account a]");
    CHECK(lost[0].found == "account a: share 5 -> 2");
    const auto reverted = edit(base, current, account("a", 1) + account("b", 2));
    REQUIRE(reverted.size() == 1);
    CHECK(reverted[0].found == "account a: share 5 -> 1");
    CHECK(edit(base, base + account("c", 1), base).front().found == "account c: removed");
    CHECK(edit(base, account("a", 1), base).front().found == "account b: added");
}

TEST_CASE("An edit outside the team's sections is refused [checking]")
{
    const auto base = account("a", 1) + account("b", 1, "others");
    const auto taken = edit(base, base, account("a", 1) + account("b", 1, "accounts"));
    REQUIRE(taken.size() == 1);
    CHECK(taken[0] == failure { failure_kind::NotSectionOwner, "[account b]", "accounts", "others" });
    CHECK(edit(base, base, account("a", 1)).front().kind == failure_kind::NotSectionOwner);
    CHECK(edit(base, base, base + account("c", 1, "others")).front().kind == failure_kind::NotSectionOwner);
}

TEST_CASE("A failure is assigned to the owner of its section [checking]")
{
    const auto text = account("a", 0, "desk");
    const auto faults = assignOwners(parseDocument({ 1 }, text).faults, text);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].owner == team_id { "desk" });
    CHECK(describe(faults[0])
        == "line 3 [account a] share: the value is out of range, found '0', allowed 1 to 1000000000 thousandths (owner "
           "desk)");
}

TEST_CASE("An unknown name as a value is refused with the allowed names [checking]")
{
    const std::string text = "[router]\nentry-vm=r\ndomain=d\ncaller-port=1\npeer-port=2\noperator-port=3\n"
                             "platform-port=4\nlog-level=loud\nstrategy=none\n";
    constexpr auto strategies = std::to_array<std::string_view>({ "one", "two" });
    std::vector<failure> faults;
    CHECK_FALSE(parseRouterSettings(text, faults, strategies).ok());
    REQUIRE(faults.size() == 2);
    CHECK(faults[0]
        == failure {
            failure_kind::ValueOutOfRange, "line 8 [router] log-level", "loud", "debug, info, warning, error" });
    CHECK(faults[1] == failure { failure_kind::ValueOutOfRange, "line 9 [router] strategy", "none", "one, two" });
}
