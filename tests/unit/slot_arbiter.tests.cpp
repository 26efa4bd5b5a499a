#include "kumquatbeam/decisions/slot_arbiter.hpp"

#include "strategy_fixture.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace kumquatbeam;

namespace {

constexpr std::int32_t slotsPerEndpoint = 4;
constexpr std::int32_t allSlots = 2 * slotsPerEndpoint;

/// An arbiter at r1 with peers r2 and r3, and accounts `large` and `small`.
struct arbiter_fixture {
    pool_view view = viewOf("r1", slotsPerEndpoint);
    slot_arbiter arbiter;
    std::map<std::string, slot_grant> granted;

    explicit arbiter_fixture(time_point gracePeriodEnd = testStart, std::int64_t smallShare = 1000)
        : arbiter({ "north" }, gracePeriodEnd, lease_holder {}, withMembers(view, smallShare))
    {
    }

    static const pool_view& withMembers(pool_view& view, std::int64_t smallShare)
    {
        addRouter(view, "r1");
        addRouter(view, "r2");
        addRouter(view, "r3");
        addAccount(view, "large", 3000, 0);
        addAccount(view, "small", smallShare, 0);
        return view;
    }

    void report(const std::string& from, const slot_report& message, std::uint64_t incarnation = 1)
    {
        arbiter.receive({ { from }, { "north" }, true, { from == "r1" ? 0 : incarnation } }, message);
    }

    void divide(time_point now)
    {
        for (auto& row : arbiter.divide(view, now))
            granted[row.to.value] = std::move(row.grant);
    }

    /// Reports that the holder has its granted leases, all of them in use.
    void confirm(const std::string& router, slot_report message)
    {
        for (const auto& row : granted[router].endpoints)
            message.endpoints.push_back({ row.endpoint, row.leased, row.leased });
        report(router, message);
    }

    std::int32_t leased(const std::string& endpoint)
    {
        std::int32_t sum = 0;
        for (const auto& [router, grant] : granted) {
            for (const auto& row : grant.endpoints)
                sum += row.endpoint == wireKeyOf(endpoint) ? row.leased.value : 0;
        }
        return sum;
    }
};

} // namespace

TEST_CASE("All slots go to the routers with backlogged accounts, by share [slot_arbiter]")
{
    arbiter_fixture test;
    test.report("r2", reportOf("large", 100));
    test.report("r3", reportOf("small", 100));
    test.divide(testStart);
    CHECK(quotaIn(test.granted["r2"], "large") == 6);
    CHECK(quotaIn(test.granted["r3"], "small") == 2);
    CHECK(leasedSlots(test.granted["r2"]) == 6);
    CHECK(leasedSlots(test.granted["r3"]) == 2);
    CHECK(test.leased("e1") == slotsPerEndpoint);
    CHECK(test.leased("e2") == slotsPerEndpoint);
}

TEST_CASE("Spare slots are spread over the routers before any request arrives [slot_arbiter]")
{
    arbiter_fixture test;
    test.divide(testStart);
    for (const auto* router : { "r1", "r2", "r3" })
        CHECK(leasedSlots(test.granted[router]) >= allSlots / 3);
    CHECK(test.leased("e1") + test.leased("e2") == allSlots);
}

TEST_CASE("A slot is leased to another router only after its holder has confirmed the release [slot_arbiter]")
{
    arbiter_fixture test;
    test.report("r2", reportOf("large", 100));
    test.divide(testStart);
    REQUIRE(leasedSlots(test.granted["r2"]) == allSlots);
    test.confirm("r2", reportOf("large", 100));

    test.report("r3", reportOf("small", 100));
    test.divide(testStart + testExchangePeriod);
    CHECK(leasedSlots(test.granted["r2"]) == 6);
    CHECK(leasedSlots(test.granted["r3"]) == 0);

    // The lease is reduced, but the calls are still running.
    slot_report running = reportOf("large", 100);
    for (const auto& row : test.granted["r2"].endpoints)
        running.endpoints.push_back({ row.endpoint, row.leased, { slotsPerEndpoint } });
    test.report("r2", running);
    test.divide(testStart + 2 * testExchangePeriod);
    CHECK(leasedSlots(test.granted["r3"]) == 0);

    test.confirm("r2", reportOf("large", 100));
    test.divide(testStart + 3 * testExchangePeriod);
    CHECK(leasedSlots(test.granted["r3"]) == 2);
    CHECK(test.leased("e1") + test.leased("e2") == allSlots);
}

TEST_CASE("Leases on an endpoint never exceed its slots while demand moves between routers [slot_arbiter]")
{
    arbiter_fixture test;
    constexpr int periods = 60;
    for (int period = 0; period < periods; ++period) {
        const std::vector<std::string> routers { "r1", "r2", "r3" };
        for (std::size_t index = 0; index < routers.size(); ++index) {
            const auto waiting = static_cast<std::uint32_t>((period / 3 + index) % 3 * 20);
            // Some reports are lost.
            if ((static_cast<std::size_t>(period) + index) % 4 != 0)
                test.confirm(routers[index], reportOf(index % 2 == 0 ? "large" : "small", waiting));
        }
        test.divide(testStart + period * testExchangePeriod);
        CHECK(test.leased("e1") <= slotsPerEndpoint);
        CHECK(test.leased("e2") <= slotsPerEndpoint);
    }
}

TEST_CASE("A new arbiter only renews reported leases until a lease duration has passed [slot_arbiter]")
{
    arbiter_fixture test(testStart + testLeaseDuration);
    auto held = reportOf("large", 100);
    addHeld(held, "e1", 2, 2);
    addHeld(held, "e2", 0, 0);
    test.report("r2", held);
    test.report("r3", reportOf("small", 100));
    test.divide(testStart);
    CHECK(leasedSlots(test.granted["r2"]) == 2);
    CHECK(leasedSlots(test.granted["r3"]) == 0);

    test.divide(testStart + testLeaseDuration);
    CHECK(leasedSlots(test.granted["r2"]) == 6);
    CHECK(leasedSlots(test.granted["r3"]) == 2);
}

TEST_CASE("Slots of an unreachable router are free after its lease has expired [slot_arbiter]")
{
    arbiter_fixture test;
    test.report("r2", reportOf("large", 100));
    test.divide(testStart);
    test.confirm("r2", reportOf("large", 100));
    test.report("r3", reportOf("small", 100));
    test.view.routers[1].isReachable = false;
    test.granted.erase("r2");

    test.divide(testStart + testExchangePeriod);
    CHECK(leasedSlots(test.granted["r3"]) == 0);
    test.divide(testStart + testLeaseDuration + testExchangePeriod);
    CHECK(leasedSlots(test.granted["r3"]) == allSlots);
}

TEST_CASE("A restarted holder has no leases, and its former slots are free at once [slot_arbiter]")
{
    arbiter_fixture test;
    test.report("r2", reportOf("large", 100));
    test.divide(testStart);
    test.confirm("r2", reportOf("large", 100));
    test.granted.erase("r2");

    test.report("r2", reportOf("large", 0), 2);
    test.report("r3", reportOf("small", 100));
    test.divide(testStart + testExchangePeriod);
    CHECK(leasedSlots(test.granted["r3"]) == allSlots);
}

TEST_CASE("The smallest share gets a slot within the maximum wait however large the others are [slot_arbiter]")
{
    arbiter_fixture test(testStart, 1);
    std::int64_t served = 0;
    std::int64_t quota = 0;
    int periods = 0;
    for (constexpr int periodLimit = 40000; quota == 0 && periods < periodLimit; ++periods) {
        test.report("r2", reportOf("large", 100, served));
        test.report("r3", reportOf("small", 100, 0));
        test.divide(testStart + periods * testExchangePeriod);
        quota = quotaIn(test.granted["r3"], "small");
        served += allSlots * std::chrono::microseconds(testExchangePeriod).count();
    }
    // Bound from the design documentation: k H W / (N w) + 2P + C. Here k = 1, H = S + 2P = 1.2 s with the mean cost
    // S = 1 s and the exchange period P = 0.1 s, W / w = 3001, N = 8, C = 1 s.
    constexpr double maximumWait = 1.2 * 3001 / allSlots + 2 * 0.1 + 1;
    CHECK(quota >= 1);
    CHECK(periods * 0.1 <= maximumWait);
}

TEST_CASE("An idle account returns without credit for its idle time [slot_arbiter]")
{
    arbiter_fixture test(testStart, 3000);
    test.report("r2", reportOf("large", 100, 0));
    test.report("r3", reportOf("small", 0, 0));
    test.divide(testStart);
    test.report("r2", reportOf("large", 100, 500'000'000));
    test.divide(testStart + testExchangePeriod);

    test.report("r3", reportOf("small", 100, 0));
    test.divide(testStart + 2 * testExchangePeriod);
    CHECK(quotaIn(test.granted["r3"], "small") == allSlots / 2);
    CHECK(quotaIn(test.granted["r2"], "large") == allSlots / 2);
}

TEST_CASE("An urgent division sends only new leases, and the periodic one sends new quotas [slot_arbiter]")
{
    arbiter_fixture test;
    test.report("r2", reportOf("large", 100));
    test.divide(testStart);
    test.confirm("r2", reportOf("large", 100));

    // The same router gets requests of another account: its leases stay, its quotas change.
    test.report("r2", reportOf("small", 100));
    CHECK(test.arbiter.divide(test.view, testStart + testExchangePeriod / 4, division_cause::Urgent).empty());
    const auto grants = test.arbiter.divide(test.view, testStart + testExchangePeriod);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().to == entry_vm_id { "r2" });
    CHECK(quotaIn(grants.front().grant, "small") == 2);
}
