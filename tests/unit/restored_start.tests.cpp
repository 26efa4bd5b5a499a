#include "restored_fixture.hpp"

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

/// A router that starts in a store, with two other routers as seeds.
class starting_fixture : public restored_fixture {
public:
    starting_fixture() { handle(settings_reloaded { bounds(), { "127.0.0.2", "127.0.0.3" } }); }

    /// Reads a table in which a key is valid that other routers may know as removed.
    void readCopy(source_era era = { 1 })
    {
        announceIn(era, { { endpoint("b1", "book"), 3 } });
        publishIn(era, tableWithKey(7, "removed"));
    }
};

} // namespace

// CONFIG: a router that restarted after a restore ran requests with a revoked key until the first heartbeat arrived.
TEST_CASE_FIXTURE(
    starting_fixture, "A router that starts in a restored store accepts no key before the seeds are heard [restored]")
{
    readCopy();
    CHECK_FALSE(isReady());
    CHECK(failureOfCall("removed") == failure_kind::KeysStale);
    SUBCASE("when both have a newer version")
    {
        hear("r2", 8, "127.0.0.2");
        hear("r3", 8, "127.0.0.3");
    }
    SUBCASE("when the first has the version of the copy")
    {
        hear("r2", 7, "127.0.0.2");
        CHECK(failureOfCall("removed") == failure_kind::KeysStale);
        hear("r3", 8, "127.0.0.3");
    }
    SUBCASE("when the first is starting as well")
    {
        hear("r2", 0, "127.0.0.2");
        hear("r4", 7, "127.0.0.4");
        CHECK(failureOfCall("removed") == failure_kind::KeysStale);
        hear("r3", 8, "127.0.0.3");
    }
    for (int read = 0; read < 10; ++read) {
        CHECK(failureOfCall("removed") == failure_kind::KeysStale);
        CHECK_FALSE(isReady());
        pass(900ms);
        hear("r3", 8, "127.0.0.3");
        readCopy();
    }
    publishIn({ 1 }, table(8));
    CHECK(isReady());
    CHECK(failureOfCall("removed") == failure_kind::UnknownAccount);
    CHECK(failureOfCall() == failure_kind::None);
}

// Otherwise each start in a store that was restored long ago would cost up to a period of reads.
TEST_CASE_FIXTURE(starting_fixture,
    "A router that starts in a restored store is ready once all seeds name the version that it has read [restored]")
{
    SUBCASE("after the read")
    {
        readCopy();
        pass(20ms);
        hear("r2", 7, "127.0.0.2");
        CHECK_FALSE(isReady());
        hear("r3", 7, "127.0.0.3");
    }
    SUBCASE("before the read")
    {
        hear("r2", 7, "127.0.0.2");
        hear("r3", 7, "127.0.0.3");
        pass(20ms);
        readCopy();
    }
    CHECK(isReady());
    CHECK(failureOfCall() == failure_kind::None);
}

// A fleet of one router, or a router that is cut off from the others, must still start.
TEST_CASE_FIXTURE(
    starting_fixture, "A router that starts in a restored store and hears nobody is ready after two seconds [restored]")
{
    SUBCASE("with seeds that are down") { }
    SUBCASE("as the only seed")
    {
        handle(settings_reloaded { bounds(), { settings().peerAddress } });
    }
    readCopy();
    pass(900ms);
    readCopy();
    pass(1099ms);
    CHECK_FALSE(isReady());
    CHECK(failureOfCall() == failure_kind::KeysStale);
    pass(1ms);
    CHECK(isReady());
    CHECK(failureOfCall() == failure_kind::None);
}

TEST_CASE_FIXTURE(
    starting_fixture, "A router that starts in a store that was never restored does not wait for others [restored]")
{
    readCopy({ 0 });
    CHECK(isReady());
    CHECK(failureOfCall() == failure_kind::None);
}

// Two routers that restart together would else confirm the older copy to each other.
TEST_CASE_FIXTURE(starting_fixture, "A router names no version while it cannot know the newest one [restored]")
{
    const auto namedVersion = [&] {
        pass(200ms);
        return commands.all<send_heartbeat>().back().heartbeat.routes.value;
    };
    readCopy();
    CHECK(namedVersion() == 0);
    hear("r2", 8, "127.0.0.2");
    CHECK(namedVersion() == 0);
    publishIn({ 1 }, table(8));
    CHECK(namedVersion() == 0);
    hear("r3", 8, "127.0.0.3");
    CHECK(namedVersion() == 8);
}
