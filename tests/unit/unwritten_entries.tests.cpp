#include "restored_fixture.hpp"

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

/// A router in whose store the entries of three endpoints of one pool have the revisions 3 to 5.
class unwritten_fixture : public restored_fixture {
public:
    /// A read in which some endpoints have written their entries since the copy.
    void read(
        source_era era, const std::set<std::string>& written, std::optional<time_point> outageEndedAfter = std::nullopt)
    {
        publishIn(era, table(1));
        std::vector<std::pair<announced_endpoint, std::uint64_t>> entries;
        std::uint64_t writtenAt = 3;
        for (const auto* id : { "b1", "b2", "b3" }) {
            entries.emplace_back(endpoint(id, "book"), written.contains(id) ? writtenAt + 10 : writtenAt);
            ++writtenAt;
        }
        announceIn(era, entries, {}, outageEndedAfter);
    }

    /// Reads every 400 ms, as the store is read after a restore, until this time.
    void readUntil(time_point end, const std::set<std::string>& written)
    {
        while (now + 400ms <= end) {
            pass(400ms);
            read({ 1 }, written);
        }
        pass(std::chrono::duration_cast<std::chrono::milliseconds>(end - now));
    }

    /// The endpoints to which requests are sent that run at the same time.
    std::set<std::string> used()
    {
        std::set<std::string> endpoints;
        std::vector<attempt_ended> ends;
        for (int call = 0; call < 6; ++call) {
            const auto id = sendRequest("/lookup/1");
            REQUIRE_FALSE(replyTo(id));
            ends.push_back(attemptEnd(id, attempt_outcome::Completed));
            endpoints.insert(ends.back().endpoint.value);
        }
        for (const auto& end : ends)
            handle(end);
        return endpoints;
    }
};

const std::set<std::string> all { "b1", "b2", "b3" };
const std::set<std::string> others { "b2", "b3" };

} // namespace

// DRAIN: a worker whose removal was lost was used until its entry in the copy expired.
TEST_CASE_FIXTURE(unwritten_fixture,
    "An endpoint whose removal a restore lost gets no call once the store is back for the stability window [restored]")
{
    std::optional<time_point> outageEndedAfter;
    time_point restoredAfter = now;
    SUBCASE("with failed reads")
    {
        read({ 0 }, {});
        pass(2s);
        restoredAfter = now;
        outageEndedAfter = now;
        pass(250ms);
    }
    SUBCASE("with a read that timed out")
    {
        read({ 0 }, {});
        pass(2s);
        restoredAfter = now;
        outageEndedAfter = now;
        pass(950ms);
    }
    SUBCASE("between two reads")
    {
        read({ 0 }, {});
        restoredAfter = now;
        pass(900ms);
    }
    SUBCASE("in a router that starts") { }
    read({ 1 }, {}, outageEndedAfter);
    CHECK(used() == all);
    readUntil(restoredAfter + bounds().outageStabilityWindow - 200ms, others);
    CHECK(used() == others);
    CHECK(changesOf("held") == 1);
    SUBCASE("until its entry has had time to expire")
    {
        readUntil(now + 8s, others);
        CHECK(used() == others);
        readUntil(now + 3s, others);
        CHECK(used() == all);
    }
    SUBCASE("until it writes its entry again")
    {
        read({ 1 }, all);
        CHECK(used() == all);
    }
}

// A restore must not empty a pool whose endpoints cannot write yet, or in a store that counts only changes of an entry.
TEST_CASE_FIXTURE(
    unwritten_fixture, "Endpoints are used after a restore while most of their pool have not written [restored]")
{
    read({ 0 }, {});
    pass(900ms);
    std::set<std::string> written;
    SUBCASE("when none has written") { }
    SUBCASE("when one has written")
    {
        written = { "b3" };
    }
    read({ 1 }, {});
    readUntil(now + 20s, written);
    CHECK(used() == all);
    CHECK(changesOf("held") == 0);
}

TEST_CASE_FIXTURE(unwritten_fixture, "An endpoint that writes within 1.4 s of a restore is used throughout [restored]")
{
    read({ 0 }, {});
    pass(900ms);
    read({ 1 }, {});
    const auto restored = now;
    readUntil(restored + 1400ms, others);
    CHECK(used() == all);
    readUntil(restored + 12s, all);
    CHECK(used() == all);
    CHECK(changesOf("held") == 0);
}

// While the store is unreachable nobody can write, which says nothing about an endpoint.
TEST_CASE_FIXTURE(
    unwritten_fixture, "An outage just after a restore gives endpoints the time to write once more [restored]")
{
    read({ 0 }, {});
    pass(900ms);
    read({ 1 }, {});
    pass(400ms);
    read({ 1 }, others);
    pass(3s);
    read({ 1 }, others, now - 250ms);
    CHECK(used() == all);
    readUntil(now + 1400ms, others);
    CHECK(used() == all);
    readUntil(now + 1200ms, others);
    CHECK(used() == others);
}

TEST_CASE_FIXTURE(
    unwritten_fixture, "Entries that stay unwritten in a store that was never restored are used [restored]")
{
    read({ 0 }, {});
    pass(400ms);
    for (int count = 0; count < 10; ++count) {
        read({ 0 }, others);
        pass(400ms);
    }
    CHECK(used() == all);
}
