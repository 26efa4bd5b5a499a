#include "kumquatbeam/decisions/placement/least_running.hpp"
#include "kumquatbeam/decisions/placement/prefix_affinity.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace kumquatbeam;

namespace {

constexpr time_point start { std::chrono::hours(1) };
constexpr double rate = 70;
const failure_domain_id north { "north" };

std::vector<endpoint_view> engines(int count)
{
    std::vector<endpoint_view> rows;
    rows.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        rows.push_back({ .endpoint = { "engine" + std::to_string(index) },
            .key = wireKeyOf("engine" + std::to_string(index)),
            .domain = north,
            .slots = { 48 },
            .prefillRate = rate });
    return rows;
}

prompt_metadata promptOf(std::uint64_t prefix, std::int64_t shared, std::int64_t own)
{
    return { .model = "m",
        .promptTokens = { shared + own },
        .outputLimit = { 100 },
        .parts = { { { prefix }, { shared } }, { { prefix * 1000 + 1 }, { own } } } };
}

placement_call callOf(const prompt_metadata& prompt)
{
    return { prompt, north, std::chrono::milliseconds(300) };
}

} // namespace

TEST_CASE("A prefix goes to one engine while that engine is free [placement]")
{
    const prefix_affinity affinity;
    const auto rows = engines(9);
    std::map<std::string, int> used;
    for (std::uint64_t prefix = 1; prefix <= 90; ++prefix) {
        const auto prompt = promptOf(prefix, 13'000, 3000);
        const auto first = affinity.place(callOf(prompt), rows, start);
        CHECK(first->endpoint == affinity.place(callOf(prompt), rows, start)->endpoint);
        CHECK(first->prefillTokens.value == 3000);
        ++used[first->endpoint.value];
    }
    CHECK(used.size() == 9);
}

TEST_CASE("Removing an engine moves only the prefixes that preferred it [placement]")
{
    const prefix_affinity affinity;
    const auto rows = engines(9);
    auto fewer = rows;
    fewer[4].isUsable = false;
    for (std::uint64_t prefix = 1; prefix <= 90; ++prefix) {
        const auto prompt = promptOf(prefix, 13'000, 3000);
        const auto before = affinity.place(callOf(prompt), rows, start)->endpoint;
        const auto after = affinity.place(callOf(prompt), fewer, start)->endpoint;
        if (before != rows[4].endpoint)
            CHECK(before == after);
        else
            CHECK(after != rows[4].endpoint);
    }
}

TEST_CASE("A prefix goes to its second preferred engine only if its prefill there is in time [placement]")
{
    const prefix_affinity affinity;
    auto rows = engines(9);
    const auto prompt = promptOf(5, 13'000, 1000);
    const auto preferred = affinity.place(callOf(prompt), rows, start)->endpoint;
    for (auto& row : rows) {
        if (row.endpoint == preferred)
            row.prefillTokens = { 40'000 };
    }
    const auto second = affinity.place(callOf(prompt), rows, start);
    REQUIRE(second);
    CHECK(second->endpoint != preferred);
    CHECK(second->prefillTokens.value == 14'000);
    for (auto& row : rows)
        row.prefillTokens = { 40'000 };
    CHECK_FALSE(affinity.place(callOf(prompt), rows, start));
}

TEST_CASE("Prompts sent by other routers count as waiting [placement]")
{
    const prefix_affinity affinity;
    auto rows = engines(2);
    const auto prompt = promptOf(7, 500, 500);
    const auto first = affinity.place(callOf(prompt), rows, start)->endpoint;
    for (auto& row : rows) {
        if (row.endpoint == first)
            row.peerPrefillTokens = { 20'000 };
    }
    CHECK(affinity.place(callOf(prompt), rows, start)->endpoint != first);
}

TEST_CASE("Prompts with a short shared prefix spread over their own domain [placement]")
{
    const prefix_affinity affinity;
    auto rows = engines(12);
    for (std::size_t index = 0; index < rows.size(); ++index)
        rows[index].domain = { index % 2 == 0 ? "north" : "south" };
    std::map<std::string, int> used;
    for (std::uint64_t request = 1; request <= 300; ++request) {
        const auto choice = affinity.place(callOf(promptOf(request, 300, 1000)), rows, start);
        REQUIRE(choice);
        ++used[choice->endpoint.value];
    }
    // With equal load, no engine of the domain gets much more than one sixth of the calls.
    CHECK(used.size() == 6);
    for (const auto& [engine, count] : used)
        CHECK(count < 100);
}

TEST_CASE("A short prompt leaves its domain when the domain is busy [placement]")
{
    const prefix_affinity affinity;
    auto rows = engines(12);
    for (std::size_t index = 0; index < rows.size(); ++index) {
        rows[index].domain = { index % 2 == 0 ? "north" : "south" };
        if (rows[index].domain == north)
            rows[index].peerPrefillTokens = { 15'000 };
    }
    const auto choice = affinity.place(callOf(promptOf(7, 300, 1000)), rows, start);
    REQUIRE(choice);
    const auto chosen = std::find_if(
        rows.begin(), rows.end(), [&](const endpoint_view& row) { return row.endpoint == choice->endpoint; });
    CHECK(chosen->domain.value == "south");
}

TEST_CASE("Without a usable engine nothing is placed [placement]")
{
    const prefix_affinity affinity;
    auto rows = engines(2);
    for (auto& row : rows)
        row.isUsable = false;
    const auto prompt = promptOf(7, 500, 500);
    CHECK_FALSE(affinity.place(callOf(prompt), rows, start));
    CHECK_FALSE(least_running {}.place(callOf(prompt), rows, start));
}

TEST_CASE("A plain call stays in its domain while the domain has free slots [placement]")
{
    std::vector<endpoint_view> rows { { .endpoint = { "far" }, .domain = { "south" }, .slots = { 6 } },
        { .endpoint = { "near" }, .domain = north, .slots = { 6 }, .running = 2 } };
    const prompt_metadata none;
    CHECK(least_running {}.place(callOf(none), rows, start)->endpoint.value == "near");
    rows[1].running = 4;
    CHECK(least_running {}.place(callOf(none), rows, start)->endpoint.value == "far");
}

TEST_CASE("A plain call avoids endpoints that have lately reported waiting calls or a slowdown [placement]")
{
    std::vector<endpoint_view> rows { { .endpoint = { "a" }, .domain = north, .slots = { 6 }, .running = 1 },
        { .endpoint = { "b" }, .domain = north, .slots = { 6 }, .running = 2 } };
    const prompt_metadata none;
    const auto chosen = [&](time_point now) { return least_running {}.place(callOf(none), rows, now)->endpoint.value; };
    CHECK(chosen(start) == "a");
    SUBCASE("waiting calls of other routers count")
    {
        rows[0].reportedCalls = 5;
    }
    SUBCASE("work that takes longer counts")
    {
        rows[0].reportedSlowdown = 2.5;
    }
    rows[0].reportUntil = start + std::chrono::seconds(1);
    CHECK(chosen(start) == "b");
    CHECK(chosen(start + std::chrono::seconds(1)) == "a");
}
