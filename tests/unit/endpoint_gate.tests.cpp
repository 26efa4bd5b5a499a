#include "kumquatbeam/decisions/endpoint_gate.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;

const time_point start {};

pool_view viewOfTwo()
{
    pool_view view;
    view.endpoints.push_back({ .endpoint = { "first" }, .slots = { 4 }, .running = { 4 } });
    view.endpoints.push_back({ .endpoint = { "second" }, .slots = { 4 } });
    return view;
}

} // namespace

TEST_CASE("An endpoint that reports waiting calls admits fewer of this router's calls [endpoint_gate]")
{
    auto view = viewOfTwo();
    endpoint_gate gate;
    gate.setEndpoints(view);
    auto& endpoint = view.endpoints.front();
    for (int report = 0; report < concurrency_limit::reportsBeforeDecrease; ++report)
        gate.recordProbe(endpoint, 3, start);
    endpoint.running = { 2 };
    CHECK_FALSE(gate.admits(endpoint, start));
    endpoint.running = { 1 };
    CHECK(gate.admits(endpoint, start));
}

TEST_CASE("Failing endpoints are ejected, and the others still admit calls [endpoint_gate]")
{
    const auto view = viewOfTwo();
    endpoint_gate gate;
    gate.setEndpoints(view);
    for (int failure = 0; failure < endpoint_health::failuresToEject; ++failure)
        gate.recordFailure({ "second" }, start);
    CHECK_FALSE(gate.admits(view.endpoints.back(), start));
    CHECK(gate.isEjected({ "second" }));
    CHECK_FALSE(gate.isEjected({ "first" }));
    CHECK(gate.nextEjectionEnd(start) == start + endpoint_health::firstEjectionDuration);
}

TEST_CASE("An endpoint that is removed from the document and added again starts without failures [endpoint_gate]")
{
    const auto view = viewOfTwo();
    endpoint_gate gate;
    gate.setEndpoints(view);
    for (int failure = 0; failure < endpoint_health::failuresToEject; ++failure)
        gate.recordFailure({ "second" }, start);
    gate.setEndpoints({});
    gate.setEndpoints(view);
    CHECK(gate.admits(view.endpoints.back(), start));
}
