#include "kumquatbeam/decisions/admission/account_shares.hpp"
#include "kumquatbeam/decisions/admission/wait_limit.hpp"
#include "kumquatbeam/decisions/shared_retry_budget.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

namespace {

constexpr time_point start { std::chrono::hours(1) };

const account_shares::rate_map noPeerRates;

account_shares localShares()
{
    return account_shares(noPeerRates);
}

} // namespace

TEST_CASE("Share usage is zero while the pool's capacity covers all requests [admission]")
{
    auto shares = localShares();
    shares.setCapacity(10'000);
    shares.recordRequested({ "a" }, { 4000 }, start);
    shares.recordAdmitted({ "a" }, { 4000 }, start);
    shares.recordRequested({ "b" }, { 100 }, start);
    CHECK(shares.shareUsage({ "a" }, start) == 0);
}

TEST_CASE("Under a flood, the account with the highest admitted rate is above its share [admission]")
{
    auto shares = localShares();
    shares.setCapacity(10'000);
    auto now = start;
    for (int step = 0; step < 100; ++step, now += std::chrono::milliseconds(50)) {
        shares.recordRequested({ "flood" }, { 5000 }, now);
        shares.recordAdmitted({ "flood" }, { 450 }, now);
        shares.recordRequested({ "other" }, { 1000 }, now);
        shares.recordAdmitted({ "other" }, { 50 }, now);
    }
    CHECK(shares.shareUsage({ "flood" }, now) > 1.5);
    CHECK(shares.shareUsage({ "other" }, now) < 0.5);
    CHECK(shares.shareUsage({ "stranger" }, now) == 0);
}

TEST_CASE("Rates reported by other routers count like local rates [admission]")
{
    const account_shares::rate_map peerRates { { wireKeyOf(std::string("flood")), { 50'000, 9000 } } };
    account_shares shares(peerRates);
    shares.setCapacity(10'000);
    shares.recordRequested({ "flood" }, { 1000 }, start);
    CHECK(shares.shareUsage({ "flood" }, start) > 0.8);
}

TEST_CASE("An account with requests only at other routers claims its share [admission]")
{
    const account_shares::rate_map peerRates { { wireKeyOf(std::string("other")), { 50'000, 1000 } } };
    account_shares shares(peerRates);
    shares.setCapacity(10'000);
    shares.recordRequested({ "flood" }, { 50'000 }, start);
    shares.recordAdmitted({ "flood" }, { 9000 }, start);
    CHECK(shares.shareUsage({ "flood" }, start) == doctest::Approx(1.8));
}

TEST_CASE("A rate decays with time [admission]")
{
    decayed_rate rate;
    rate.add(1000, start);
    CHECK(rate.perSecond(start) == doctest::Approx(1000));
    CHECK(rate.perSecond(start + decayed_rate::timeConstant) == doctest::Approx(368).epsilon(0.01));
    CHECK(rate.perSecond(start + 10 * decayed_rate::timeConstant) < 1);
}

TEST_CASE("Under pressure the wait limit falls as the account's share usage rises [admission]")
{
    constexpr double pressure = 1;
    CHECK(waitFractionOf(0, pressure) == doctest::Approx(0.5));
    CHECK(waitFractionOf(0.8, pressure) == doctest::Approx(0.5));
    double last = 1;
    for (double shareUsage = 0; shareUsage < 1.6; shareUsage += 0.01) {
        CHECK(waitFractionOf(shareUsage, pressure) <= last);
        CHECK(waitFractionOf(shareUsage, pressure) >= 0);
        last = waitFractionOf(shareUsage, pressure);
    }
    CHECK(waitFractionOf(1.6, pressure) < 0);
}

TEST_CASE("Under low pressure, share usage has no effect [admission]")
{
    CHECK(waitFractionOf(5, 0) == doctest::Approx(0.5));
    CHECK(waitFractionOf(0, 0) == doctest::Approx(0.5));
    CHECK(waitFractionOf(5, 1) < waitFractionOf(5, 0.1));
}

TEST_CASE("Retries of the whole fleet stay within the budget in every window [admission]")
{
    constexpr std::int64_t routers = 4;
    const shared_retry_budget::limits limits { 0.2, 40, std::chrono::seconds(10) };
    std::vector<shared_retry_budget> budgets(routers, shared_retry_budget(limits));
    std::vector<std::pair<time_point, bool>> events;
    auto now = start;
    for (int step = 0; step < 4000; ++step, now += std::chrono::milliseconds(10)) {
        auto& budget = budgets[static_cast<std::size_t>(step % routers)];
        budget.recordRequest(now);
        events.emplace_back(now, false);
        while (budget.tryWithdraw(routers, now))
            events.emplace_back(now, true);
    }
    for (auto from = start; from < now; from += std::chrono::milliseconds(130)) {
        std::int64_t requests = 0;
        std::int64_t retries = 0;
        for (const auto& [at, isRetry] : events) {
            if (at < from || at >= from + limits.window)
                continue;
            ++(isRetry ? retries : requests);
        }
        const auto bound = limits.ratio * static_cast<double>(std::max<std::int64_t>(requests, 1000))
            + static_cast<double>(limits.allowance);
        CHECK(static_cast<double>(retries) <= bound);
    }
}

TEST_CASE("A router spends no more than its part of the allowance [admission]")
{
    shared_retry_budget budget({ 0.0, 40, std::chrono::seconds(10) });
    int spent = 0;
    while (budget.tryWithdraw(4, start))
        ++spent;
    CHECK(spent == 10);
}

TEST_CASE("A retry budget whose limits change keeps what was spent within its window [admission]")
{
    using namespace std::chrono_literals;
    shared_retry_budget budget({ 0.0, 10, 10s });
    const auto spentAt = [&](time_point now) {
        int spent = 0;
        while (budget.tryWithdraw(1, now))
            ++spent;
        return spent;
    };
    REQUIRE(spentAt(start) == 10);
    SUBCASE("a larger allowance adds only the difference")
    {
        budget.setLimits({ 0.0, 15, 10s });
        CHECK(spentAt(start + 1s) == 5);
    }
    SUBCASE("a smaller one allows none")
    {
        budget.setLimits({ 0.0, 5, 10s });
        CHECK(spentAt(start + 1s) == 0);
    }
    SUBCASE("a longer window counts it for longer")
    {
        budget.setLimits({ 0.0, 10, 20s });
        CHECK(spentAt(start + 19s) == 0);
        CHECK(spentAt(start + 21s) == 10);
    }
    SUBCASE("a shorter window forgets it earlier")
    {
        budget.setLimits({ 0.0, 10, 4s });
        CHECK(spentAt(start + 3900ms) == 0);
        CHECK(spentAt(start + 4600ms) == 10);
    }
}
