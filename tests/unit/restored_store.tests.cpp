#include "restored_fixture.hpp"

#include <deque>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

using endpoints = std::vector<std::pair<announced_endpoint, std::uint64_t>>;

const announced_endpoint first = routing_fixture::endpoint("b1", "book");
const announced_endpoint second = routing_fixture::endpoint("b2", "book");

} // namespace

// A restored store brings back keys that operators have removed.
TEST_CASE_FIXTURE(restored_fixture, "A key that a lost version had removed stays rejected after a restore [restored]")
{
    announceIn({ 0 }, { { first, 3 } });
    publishIn({ 0 }, tableWithKey(7, "removed"));
    CHECK(failureOfCall("removed") == failure_kind::None);
    publishIn({ 0 }, table(8));
    CHECK(failureOfCall("removed") == failure_kind::UnknownAccount);
    for (int read = 0; read < 5; ++read) {
        pass(1s);
        publishIn({ 1 }, tableWithKey(7, "removed"));
        announceIn({ 1 }, { { first, 3 } });
        CHECK(failureOfCall("removed") != failure_kind::None);
    }
    CHECK(failureOfCall("key") == failure_kind::KeysStale);
    CHECK_FALSE(isReady());
    publishIn({ 1 }, table(8));
    CHECK(failureOfCall("key") == failure_kind::None);
    CHECK(failureOfCall("removed") == failure_kind::UnknownAccount);
    CHECK(isReady());
}

// A version number that was lost is assigned again, and its new content was taken for the known one.
TEST_CASE_FIXTURE(
    restored_fixture, "The same version with other content replaces the table only in a newer era [restored]")
{
    announceIn({ 0 }, { { first, 3 } });
    publishIn({ 0 }, table(8));
    publishIn({ 0 }, tableWithKey(8, "added"));
    CHECK(failureOfCall("added") == failure_kind::UnknownAccount);
    publishIn({ 1 }, tableWithKey(8, "added"));
    CHECK(failureOfCall("added") == failure_kind::None);
    publishIn({ 0 }, table(8));
    CHECK(failureOfCall("added") == failure_kind::None);
}

// A router that starts after a restore knows nothing of the lost version; the others still have it in force.
TEST_CASE_FIXTURE(restored_fixture,
    "A table older than one that another router has in force confirms no keys in a router that starts [restored]")
{
    announceIn({ 1 }, { { first, 3 } });
    SUBCASE("which hears of it before its first read")
    {
        hear("r2", 8);
        pass(10ms);
        publishIn({ 1 }, tableWithKey(7, "removed"));
    }
    SUBCASE("which hears of it after its first read")
    {
        publishIn({ 1 }, tableWithKey(7, "removed"));
        CHECK(isReady());
        pass(150ms);
        hear("r2", 8);
        pass(0ms);
    }
    SUBCASE("which hears of it during a read")
    {
        publishIn({ 1 }, tableWithKey(7, "removed"));
        hear("r2", 8);
        pass(10ms);
        publishIn({ 1 }, tableWithKey(7, "removed"), 20ms);
    }
    CHECK_FALSE(isReady());
    CHECK(failureOfCall("removed") == failure_kind::KeysStale);
    pass(1s);
    hear("r2", 8);
    publishIn({ 1 }, tableWithKey(7, "removed"));
    CHECK(failureOfCall("removed") == failure_kind::KeysStale);
    publishIn({ 1 }, table(8));
    CHECK(isReady());
    CHECK(failureOfCall("key") == failure_kind::None);
}

// Otherwise routers that have all been restarted would reject keys for ever because of one that no longer exists.
TEST_CASE_FIXTURE(restored_fixture, "A version that no router has named for a minute no longer counts [restored]")
{
    announceIn({ 1 }, { { first, 3 } });
    hear("r2", 8);
    pass(10ms);
    publishIn({ 1 }, table(7));
    CHECK(failureOfCall() == failure_kind::KeysStale);
    pass(61s);
    SUBCASE("when another router names an older one")
    {
        hear("r3", 7);
    }
    SUBCASE("when no router is heard") { }
    publishIn({ 1 }, table(7));
    announceIn({ 1 }, { { first, 4 } });
    CHECK(failureOfCall() == failure_kind::None);
}

// The rule above must not reject keys during an ordinary change: other routers read the new version up to a second
// earlier.
TEST_CASE_FIXTURE(restored_fixture,
    "A change of configuration that other routers know of first causes no rejection and no unreadiness [restored]")
{
    for (const source_era era : { source_era { 0 }, source_era { 1 } }) {
        restored_fixture fixture;
        fixture.announceIn(era, { { first, 3 } });
        fixture.publishIn(era, table(1));
        std::uint64_t version = 1;
        // Past the start, reads are 1.6 s apart and take 100 ms.
        for (; fixture.now < time_point { 1h } + 7s; fixture.pass(1600ms))
            fixture.publishIn(era, table(version), 100ms);
        for (int change = 0; change < 4; ++change) {
            ++version;
            // Another router has read the new version; a read that began earlier still shows the one before.
            fixture.hear("r2", version);
            fixture.publishIn(era, table(version - 1), 100ms);
            for (int step = 0; step < 16; ++step) {
                fixture.pass(100ms);
                CHECK(fixture.failureOfCall() == failure_kind::None);
            }
            fixture.publishIn(era, table(version), 100ms);
            fixture.announceIn(era, { { first, 3 } });
            CHECK(fixture.failureOfCall() == failure_kind::None);
        }
        CHECK(fixture.isReady());
        CHECK(fixture.commands.all<set_ready>().size() == 1);
    }
}

// Entries written after the copy are lost, and their endpoints write them again only some time later.
TEST_CASE_FIXTURE(restored_fixture, "An endpoint whose entry a restore lost is kept for the grace period [restored]")
{
    publishIn({ 0 }, table(1));
    announceIn({ 0 }, { { first, 3 }, { second, 4 } });
    pass(1s);
    announceIn({ 1 }, {});
    pass(2s);
    publishIn({ 1 }, table(1));
    announceIn({ 1 }, {});
    CHECK(failureOfCall() == failure_kind::None);
    announceIn({ 1 }, { { second, 4 } });
    pass(300ms);
    CHECK_FALSE(isUsed("b1"));
    CHECK(isUsed("b2"));
}

// An older copy contains endpoints that have left since, and announces draining ones as ready.
TEST_CASE_FIXTURE(restored_fixture, "An endpoint that had left before a restore is not used from the copy [restored]")
{
    publishIn({ 0 }, table(1));
    announceIn({ 0 }, { { first, 3 }, { second, 4 } });
    pass(1s);
    announceIn({ 0 }, { { second, 4 } });
    pass(1s);
    const endpoints copy { { first, 3 }, { second, 4 } };
    publishIn({ 1 }, table(1));
    announceIn({ 1 }, copy);
    CHECK_FALSE(isUsed("b1"));
    CHECK(changesOf("held") == 1);
    SUBCASE("until its entry is written again")
    {
        pass(1s);
        announceIn({ 1 }, copy);
        CHECK_FALSE(isUsed("b1"));
        announceIn({ 1 }, { { first, 5 }, { second, 4 } });
        CHECK(isUsed("b1"));
    }
    SUBCASE("unless it is a later incarnation")
    {
        announceIn({ 1 }, { { endpoint("b1", "book", 2), 3 }, { second, 4 } });
        CHECK(isUsed("b1"));
    }
    SUBCASE("until its entry has had time to expire")
    {
        for (int read = 0; read < 10; ++read) {
            CHECK_FALSE(isUsed("b1"));
            pass(1s);
            publishIn({ 1 }, table(1));
            announceIn({ 1 }, copy);
        }
        CHECK(isUsed("b1"));
    }
}

TEST_CASE_FIXTURE(
    restored_fixture, "An incarnation that was draining before a restore stays so, whatever the copy says [restored]")
{
    publishIn({ 0 }, table(1));
    auto leaving = first;
    leaving.isDraining = true;
    announceIn({ 0 }, { { leaving, 5 }, { second, 4 } });
    SUBCASE("while it is announced") { }
    SUBCASE("after it was removed")
    {
        pass(1s);
        announceIn({ 0 }, { { second, 4 } });
    }
    for (std::uint64_t read = 0; read < 12; ++read) {
        pass(1s);
        publishIn({ 1 }, table(1));
        // It is written once more halfway, still as ready.
        announceIn({ 1 }, { { first, read < 6 ? 3 : 6 }, { second, 4 } });
        CHECK_FALSE(isUsed("b1"));
        CHECK(isUsed("b2"));
    }
    announceIn({ 1 }, { { endpoint("b1", "book", 2), 7 }, { second, 4 } });
    CHECK(isUsed("b1"));
}

// Without a restore, an entry that was missing for a moment must not cost the endpoint ten seconds.
TEST_CASE_FIXTURE(restored_fixture, "An endpoint that comes back in the same era is used at once [restored]")
{
    publishIn({ 0 }, table(1));
    announceIn({ 0 }, { { first, 3 } });
    pass(1s);
    announceIn({ 0 }, {});
    CHECK(failureOfCall() == failure_kind::NoEndpoint);
    announceIn({ 0 }, { { first, 3 } });
    CHECK(failureOfCall() == failure_kind::None);
}

// Operators have evacuated a domain, and the copy does not know.
TEST_CASE("An evacuation that a restore lost stays in force for the stability window [restored]")
{
    recorded_commands commands;
    recorded_log log;
    std::deque<decision_event> raised;
    time_point now { 1h };
    const auto bounds = routing_fixture::bounds();
    directory_controller directory(bounds);
    const auto read = [&](std::uint64_t era, const std::set<failure_domain_id>& evacuated) {
        decision_context context { now, commands, log, raised };
        auto seen = std::make_shared<endpoint_directory>();
        seen->evacuatedDomains = evacuated;
        directory.handle(directory_observed { std::move(seen), now, std::nullopt, { era } }, context);
    };
    const auto passUntil = [&](time_point when) {
        now = when;
        decision_context context { now, commands, log, raised };
        if (directory.nextDeadline() <= now)
            directory.onDeadline(context);
    };
    const failure_domain_id north { "north" };
    read(1, { north });
    CHECK(directory.isEvacuated(north));
    passUntil(now + 1s);
    SUBCASE("and ends at the next read without a restore")
    {
        read(1, {});
        CHECK_FALSE(directory.isEvacuated(north));
    }
    SUBCASE("and ends then if it is not written again")
    {
        const auto restored = now;
        read(2, {});
        read(2, {});
        passUntil(restored + bounds.outageStabilityWindow - 1ms);
        CHECK(directory.isEvacuated(north));
        passUntil(restored + bounds.outageStabilityWindow);
        CHECK_FALSE(directory.isEvacuated(north));
    }
    SUBCASE("and goes on if it is written again")
    {
        read(2, {});
        passUntil(now + 1s);
        read(2, { north });
        passUntil(now + 10s);
        CHECK(directory.isEvacuated(north));
        read(2, {});
        CHECK_FALSE(directory.isEvacuated(north));
    }
}

TEST_CASE_FIXTURE(restored_fixture, "The status and the log state the era of the store [restored]")
{
    announceIn({ 4 }, {});
    announceIn({ 4 }, {});
    CHECK(status().sourceErasSeen == 1);
    announceIn({ 5 }, {});
    CHECK(status().sourceEra.value == 5);
    CHECK(status().sourceErasSeen == 2);
    CHECK(changesOf("era") == 2);
    CHECK(std::any_of(log.changes.begin(), log.changes.end(),
        [](const change_record& record) { return record.change == "era" && record.subject == "5 before=4"; }));
}
