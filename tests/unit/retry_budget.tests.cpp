#include "kumquatbeam/decisions/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

TEST_CASE("A full budget allows one burst of retries and no more [retry_budget]")
{
    retry_budget budget;
    for (int retry = 0; retry < retry_budget::burst; ++retry)
        CHECK(budget.tryWithdraw());
    CHECK_FALSE(budget.tryWithdraw());
}

TEST_CASE("An exhausted budget allows one retry per `answersPerRetry` answers [retry_budget]")
{
    retry_budget budget;
    while (budget.tryWithdraw()) { }
    for (int answer = 1; answer < retry_budget::answersPerRetry; ++answer)
        budget.deposit();
    CHECK_FALSE(budget.tryWithdraw());
    budget.deposit();
    CHECK(budget.tryWithdraw());
    CHECK_FALSE(budget.tryWithdraw());
}

TEST_CASE("Answers do not fill the budget beyond its burst [retry_budget]")
{
    retry_budget budget;
    for (int answer = 0; answer < 10 * retry_budget::answersPerRetry; ++answer)
        budget.deposit();
    int retries = 0;
    while (budget.tryWithdraw())
        ++retries;
    CHECK(retries == retry_budget::burst);
}
