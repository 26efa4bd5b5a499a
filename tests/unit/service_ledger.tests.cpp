#include "kumquatbeam/decisions/service_ledger.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

namespace {

const wire_key account { 7 };

std::vector<slot_report::account_row> servedRow(std::int64_t served)
{
    return { { account, 0, 0, { served } } };
}

} // namespace

TEST_CASE("Duplicate and reordered counters change nothing [service_ledger]")
{
    service_ledger ledger;
    ledger.record({ "r1" }, { 1 }, servedRow(0));
    ledger.record({ "r1" }, { 1 }, servedRow(50));
    ledger.record({ "r1" }, { 1 }, servedRow(50));
    ledger.record({ "r1" }, { 1 }, servedRow(20));
    CHECK(ledger.total(account) == service_cost { 50 });
}

TEST_CASE("A restarted router does not reduce the totals [service_ledger]")
{
    service_ledger ledger;
    ledger.record({ "r1" }, { 1 }, servedRow(0));
    ledger.record({ "r1" }, { 1 }, servedRow(50));
    ledger.record({ "r1" }, { 2 }, servedRow(10));
    CHECK(ledger.total(account) == service_cost { 60 });
    ledger.record({ "r1" }, { 2 }, servedRow(30));
    CHECK(ledger.total(account) == service_cost { 80 });
}
