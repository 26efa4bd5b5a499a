#include "kumquatbeam/types/wire_key.hpp"
#include "routing_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

/// A router with one engine, whose requests take as long as the engine's rate requires.
class engine_fixture : public routing_fixture {
public:
    explicit engine_fixture(bool isLearning = true)
    {
        if (isLearning)
            core.allowSpeedLearning();
        publishRoutes();
        announceEngine(1);
    }

    /// Publishes routes of a pool with room for the account, so that only the engine's speed limits the wait.
    void publishRoutes()
    {
        auto routes = table(1);
        routes->tokensPerSecond = 1'000'000'000;
        publish(std::move(routes));
    }

    void announceEngine(std::int64_t incarnation) { announce({ endpoint("e1", "desk", incarnation) }); }

    static prompt_metadata promptOf(std::int64_t tokens)
    {
        return { .model = "m", .promptTokens = { tokens }, .outputLimit = { 100 }, .parts = { { { 1 }, { tokens } } } };
    }

    /// Sends a request and returns the estimated wait of the next one.
    std::chrono::microseconds waitBehind(std::int64_t tokens)
    {
        const auto first = sendRequest("/quote/1", "key", promptOf(tokens));
        const auto sent = attempts();
        sendRequest("/quote/1", "key", promptOf(100));
        REQUIRE(attempts() == sent + 1);
        const auto wait = log.placements.back().wait;
        end(request_id { first.value + 1 });
        end(first);
        return wait;
    }

    /// Runs requests one after the other on an engine with a rate in tokens per millisecond.
    void runRequests(double rate, int count, std::optional<double> slowdown = 1.0)
    {
        constexpr std::int64_t tokens = 10'000;
        for (int i = 0; i < count; ++i) {
            const auto id = sendRequest("/quote/1", "key", promptOf(tokens));
            pass(endpoint_speed::baseTime + std::chrono::milliseconds(static_cast<std::int64_t>(tokens / rate)));
            handle(answer_begun { id, endpoint_load { { "e1" }, 1, 0, false, slowdown } });
            pass(100ms);
            end(id);
            publishRoutes();
        }
    }

    /// Lets time pass so that each update happens when it is due.
    void passInSteps(std::chrono::milliseconds time)
    {
        for (const auto until = now + time; now < until;)
            pass(100ms);
    }

    void end(request_id id)
    {
        auto ended = attemptEnd(id, attempt_outcome::Completed);
        ended.isRelayed = true;
        handle(ended);
    }
};

/// The same router with default settings.
struct default_fixture : engine_fixture {
    default_fixture()
        : engine_fixture(false)
    {
    }
};

} // namespace

TEST_CASE_FIXTURE(engine_fixture, "Waits follow the speed that an engine has shown [endpoint_speed]")
{
    CHECK(waitBehind(10'000) == 200ms);
    runRequests(157, 30);
    const auto learned = waitBehind(10'000);
    CHECK(learned > 55ms);
    CHECK(learned < 75ms);
    SUBCASE("A new incarnation under the same id starts from the fallback")
    {
        announceEngine(2);
        passInSteps(12s);
        publishRoutes();
        CHECK(waitBehind(10'000) > 195ms);
    }
    SUBCASE("It returns to the default when nothing is learned")
    {
        passInSteps(20s);
        publishRoutes();
        CHECK(waitBehind(10'000) > 195ms);
    }
    SUBCASE("A reported slowdown counts for at most a second")
    {
        const auto id = sendRequest("/quote/1", "key", promptOf(0));
        handle(answer_begun { id, endpoint_load { { "e1" }, 1, 0, false, 2.0 } });
        end(id);
        CHECK(waitBehind(10'000) > learned * 19 / 10);
        pass(1000ms);
        CHECK(waitBehind(10'000) < learned * 12 / 10);
    }
}

TEST_CASE_FIXTURE(engine_fixture, "Calls at an earlier incarnation do not count at the new one [endpoint_speed]")
{
    // An engine that restarts under its id has lost its requests; their prompts would delay the new one's first calls.
    const auto before = sendRequest("/quote/1", "key", promptOf(10'000));
    announceEngine(2);
    const auto after = sendRequest("/quote/1", "key", promptOf(100));
    CHECK(log.placements.back().wait == 0us);
    handle(attemptEnd(before, attempt_outcome::Broken));
    handle(attemptEnd(after, attempt_outcome::Broken));
    sendRequest("/quote/1", "key", promptOf(100));
    CHECK(log.placements.back().wait == 0us);
}

// On a deployment with scarce engines, learned rates refused more callers and broke the fairness between accounts.
TEST_CASE_FIXTURE(default_fixture, "Speeds are not learned unless the settings allow it [endpoint_speed]")
{
    runRequests(157, 30);
    CHECK(waitBehind(10'000) == 200ms);
}

// Deployments whose endpoints report no slowdown were served worse with learned rates.
TEST_CASE_FIXTURE(engine_fixture, "Without reported slowdowns the default rate is used [endpoint_speed]")
{
    runRequests(157, 30, std::nullopt);
    CHECK(waitBehind(10'000) == 200ms);
}

TEST_CASE_FIXTURE(engine_fixture, "A changed rate is logged [endpoint_speed]")
{
    runRequests(157, 30);
    const auto isSpeed = [](const change_record& record) { return record.change == "speed"; };
    const auto lines = std::count_if(log.changes.begin(), log.changes.end(), isSpeed);
    CHECK(lines >= 1);
    CHECK(lines <= 2);
}

TEST_CASE_FIXTURE(routing_fixture, "The load in a plain answer counts for placement [endpoint_speed]")
{
    core.allowSpeedLearning();
    publish(table(1));
    announce({ endpoint("b1", "book"), endpoint("b2", "book") });
    const auto id = sendRequest("/lookup/1");
    const auto first = lastAttempt()->to.endpoint;
    auto ended = attemptEnd(id, attempt_outcome::Completed);
    ended.load = endpoint_load { first, 6, 4, false, 1.0 };
    handle(ended);
    sendRequest("/lookup/1");
    CHECK(lastAttempt()->to.endpoint != first);
}

namespace {

/// Rates of endpoints in the heartbeats that were sent.
std::vector<std::uint16_t> reportedRates(const recorded_commands& commands)
{
    std::vector<std::uint16_t> rates;
    for (const auto& sent : commands.all<send_heartbeat>()) {
        for (const auto& row : sent.heartbeat.endpoints) {
            if (row.prefillRate > 0)
                rates.push_back(row.prefillRate);
        }
    }
    return rates;
}

} // namespace

TEST_CASE_FIXTURE(engine_fixture, "A router learns from the rates of others and reports only its own [endpoint_speed]")
{
    const auto id = sendRequest("/quote/1", "key", promptOf(0));
    handle(answer_begun { id, endpoint_load { { "e1" }, 1, 0, false, 1.0 } });
    end(id);
    fleet_heartbeat heartbeat { .from = { "r2" }, .incarnation = { 5 }, .domain = { "north" }, .address = "10.0.0.2" };
    heartbeat.endpoints.push_back({ wireKeyOf("e1"), 0, {}, 157 });
    for (std::uint64_t i = 1; i <= 100; ++i) {
        heartbeat.sequence = i;
        handle(peer_received { heartbeat.from, heartbeat });
        pass(50ms);
    }
    publishRoutes();
    CHECK(waitBehind(10'000) < 85ms);
    sendRequest("/quote/1", "key", promptOf(100));
    pass(2s);
    CHECK(reportedRates(commands).empty());
    publishRoutes();
    runRequests(100, 3);
    const auto own = reportedRates(commands);
    REQUIRE(!own.empty());
    // The fixture's times are whole milliseconds.
    CHECK(own.back() >= 98);
    CHECK(own.back() <= 102);
}
