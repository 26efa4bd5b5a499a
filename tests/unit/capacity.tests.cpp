#include "kumquatbeam/capacity/capacity_slope.hpp"
#include "kumquatbeam/capacity/fleet_sample.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace kumquatbeam;

TEST_CASE("The fitted line has the least squared error [capacity]")
{
    const std::array<capacity_point, 3> points { { { 1, 5 }, { 2, 7 }, { 4, 11 } } };
    const auto fit = fitLine(points);
    CHECK(fit.base == doctest::Approx(3));
    CHECK(fit.perUnit == doctest::Approx(2));
    CHECK(fit.largestRelativeError == doctest::Approx(0));
}

TEST_CASE("The routers' parsers accept the sample texts [capacity]")
{
    const fleet_size size { .accounts = 30, .endpoints = 20, .routers = 5 };
    const auto document = parseDocument({ 1 }, sampleDocument(size));
    CHECK(document.isAccepted());
    CHECK(document.document.accounts.size() == 30);
    CHECK(document.document.endpoints.size() == 20);
    CHECK(parseMembers({ 1 }, sampleMembers(size)).members.entryVms.size() == 5);

    sample_core core(size, "local-only");
    core.admit(3);
    core.finish();
    CHECK(core.sink().refusals() == 0);
}
