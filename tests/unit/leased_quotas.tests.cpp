#include "kumquatbeam/decisions/leased_quotas.hpp"

#include "kumquatbeam/decisions/shared_counters.hpp"

#include "strategy_fixture.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

namespace {

constexpr std::int32_t slotsPerEndpoint = 4;

/// The router that arbitrates `north` by rendezvous hashing, and the other router.
struct member_names {
    std::string arbiter;
    std::string other;
};

member_names memberNames()
{
    auto view = viewOf("r1", slotsPerEndpoint);
    addRouter(view, "r1");
    addRouter(view, "r2");
    const auto arbiter = domain_assignment().arbiterOf(view, { "north" }).value;
    return { arbiter, arbiter == "r1" ? "r2" : "r1" };
}

pool_view memberView(const std::string& self)
{
    auto view = viewOf(self, slotsPerEndpoint);
    addRouter(view, "r1");
    addRouter(view, "r2");
    addAccount(view, "a", 1000, 0);
    addAccount(view, "b", 1000, 0);
    return view;
}

slot_grant grantOf(std::int32_t atFirst, std::int32_t atSecond, std::uint32_t quotaOfA, std::uint32_t quotaOfB)
{
    slot_grant grant { .pool = wireKeyOf(std::string("model")), .remaining = testLeaseDuration };
    grant.accounts.push_back({ wireKeyOf(std::string("a")), quotaOfA, {} });
    grant.accounts.push_back({ wireKeyOf(std::string("b")), quotaOfB, {} });
    grant.endpoints.push_back({ wireKeyOf(std::string("e1")), { atFirst } });
    grant.endpoints.push_back({ wireKeyOf(std::string("e2")), { atSecond } });
    return grant;
}

} // namespace

TEST_CASE("A holder uses a free slot for the account furthest below its quota [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    view.accounts[0].waiting = view.accounts[1].waiting = 5;
    strategy.receive({ names.arbiter }, grantOf(2, 0, 1, 3), view, testStart);

    const auto choice = strategy.choose(view, testStart);
    REQUIRE(choice.has_value());
    CHECK(choice->account == client_account_id { "b" });
    CHECK(choice->endpoint == endpoint_id { "e1" });
    CHECK(choice->sendBefore == testStart + testLeaseDuration);
}

TEST_CASE("A leased slot is not left free while any account waits, also beyond its quota [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    view.accounts[0].waiting = 1;
    strategy.receive({ names.arbiter }, grantOf(1, 0, 0, 1), view, testStart);
    const auto choice = strategy.choose(view, testStart);
    REQUIRE(choice.has_value());
    CHECK(choice->account == client_account_id { "a" });
}

TEST_CASE("No more calls run on an endpoint than are leased there [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    view.accounts[0].waiting = 10;
    view.endpoints[0].running = { 2 };
    strategy.receive({ names.arbiter }, grantOf(2, 0, 8, 0), view, testStart);
    CHECK_FALSE(strategy.choose(view, testStart).has_value());
}

TEST_CASE("A lease expires at its deadline, and the static slice of the own domain remains [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    view.endpoints.push_back({ .endpoint = { "e3" }, .domain = { "south" }, .slots = { slotsPerEndpoint } });
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    view.accounts[0].waiting = 10;
    strategy.receive({ names.arbiter }, grantOf(4, 4, 8, 0), view, testStart);
    const auto after = testStart + testLeaseDuration;
    view.endpoints[0].running = { slotsPerEndpoint / 2 };
    const auto choice = strategy.choose(view, after);
    REQUIRE(choice.has_value());
    CHECK(choice->endpoint == endpoint_id { "e2" });
    view.endpoints[1].running = { slotsPerEndpoint / 2 };
    CHECK_FALSE(strategy.choose(view, after).has_value());
}

TEST_CASE("A restarted router uses no slot before a lease duration has passed [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    view.accounts[0].waiting = 10;
    leased_quotas strategy;
    CHECK_FALSE(strategy.choose(view, testStart).has_value());
    strategy.exchange(view, testStart);
    CHECK_FALSE(strategy.choose(view, testStart + testLeaseDuration).has_value());
    const auto later = testStart + testLeaseDuration + 2 * testExchangePeriod;
    strategy.exchange(view, later);
    CHECK(strategy.choose(view, later).has_value());
}

TEST_CASE("Grants count only from the router that arbitrates the domain [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.arbiter);
    view.accounts[0].waiting = 10;
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    strategy.receive({ names.other }, grantOf(4, 4, 8, 0), view, testStart);
    CHECK_FALSE(strategy.choose(view, testStart).has_value());
}

TEST_CASE("Unreported work triggers an urgent report, at most four times per exchange period [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    CHECK(strategy.nextExchange() == testStart + testExchangePeriod);
    view.accounts[0].waiting = 1;
    strategy.choose(view, testStart);
    CHECK(strategy.nextExchange() == testStart + testExchangePeriod / 4);
    CHECK_FALSE(strategy.exchange(view, testStart + testExchangePeriod / 4).empty());
}

TEST_CASE("A holder confirms released slots to their arbiter at once [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    leased_quotas strategy;
    strategy.exchange(view, testStart);
    strategy.receive({ names.arbiter }, grantOf(4, 4, 8, 0), view, testStart);
    strategy.exchange(view, testStart + testExchangePeriod);
    const auto lowered = testStart + testExchangePeriod + testExchangePeriod / 2;
    strategy.receive({ names.arbiter }, grantOf(4, 2, 6, 0), view, lowered);
    REQUIRE(strategy.nextExchange() == lowered);
    const auto messages = strategy.exchange(view, lowered);
    REQUIRE(messages.size() == 1);
    const auto& report = std::get<slot_report>(messages.front().message);
    CHECK(report.accounts.empty());
    REQUIRE(report.endpoints.size() == 1);
    CHECK(report.endpoints.front().leased == slot_count { 2 });
}

TEST_CASE("A report contains only changed rows [leased_quotas]")
{
    const auto names = memberNames();
    auto view = memberView(names.other);
    leased_quotas strategy;
    CHECK(strategy.exchange(view, testStart).size() == 1);
    CHECK(strategy.exchange(view, testStart + testExchangePeriod).empty());
    view.accounts[1].served = { 5 };
    const auto messages = strategy.exchange(view, testStart + 2 * testExchangePeriod);
    REQUIRE(messages.size() == 1);
    const auto& report = std::get<slot_report>(messages.front().message);
    CHECK(messages.front().to == entry_vm_id { names.arbiter });
    CHECK(report.accounts.size() == 1);
    CHECK(report.endpoints.empty());
}

TEST_CASE("Reports lead to grants that the holder can use, with two strategies connected directly [leased_quotas]")
{
    const auto names = memberNames();
    auto arbiterView = memberView(names.arbiter);
    auto holderView = memberView(names.other);
    leased_quotas arbiter;
    leased_quotas holder;
    holderView.accounts[0].waiting = 20;
    auto now = testStart;
    for (; now < testStart + 2 * testLeaseDuration; now += testExchangePeriod) {
        for (const auto& row : holder.exchange(holderView, now))
            arbiter.receive({ names.other }, row.message, arbiterView, now);
        for (const auto& row : arbiter.exchange(arbiterView, now))
            holder.receive({ names.arbiter }, row.message, holderView, now);
    }
    CHECK(holder.describe(holderView).domains.front().leased == slot_count { 2 * slotsPerEndpoint });
    CHECK(holder.choose(holderView, now).has_value());
}

TEST_CASE("With shared counters, the account with the least service over the whole fleet is next [shared_counters]")
{
    auto view = memberView("r1");
    view.accounts[0].waiting = view.accounts[1].waiting = 5;
    view.accounts[1].served = { 10 };
    shared_counters strategy(slot_division::WholePool);
    CHECK(strategy.choose(view, testStart)->account == client_account_id { "a" });
    strategy.receive({ "r2" }, reportOf("a", 1, 0), view, testStart);
    strategy.receive({ "r2" }, reportOf("a", 1, 50), view, testStart);
    CHECK(strategy.choose(view, testStart)->account == client_account_id { "b" });
}
