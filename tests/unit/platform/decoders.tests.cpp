#include "kumquatbeam/controllers/drain_controller.hpp"
#include "platform/endpoint_decoder.hpp"
#include "platform/entry_settings.hpp"
#include "platform/prompt_decoder.hpp"
#include "platform/route_decoder.hpp"
#include "platform/store_page.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace kumquatbeam;
using namespace kumquatbeam::platform;

namespace {

const std::string routesText = R"({"version":7,"routes":[
 {"name":"a","host":"Ficu.example","path_prefix":"/q/","kind":"streaming","timeout_ms":8000,"target_latency_ms":600,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maximum_attempts":2,"public":false,"stream_resumption":true},
 {"name":"b","host":"ficu.example","path_prefix":"/o/","kind":"non_idempotent","timeout_ms":1000,"service":"s2","public":true},
 {"name":"c","host":"ficu.example","path_prefix":"/x/","kind":"who knows","timeout_ms":1000,"service":"s2"}],
 "services":[{"name":"s1","engine":{"slots":48,"kv_cache_tokens":444000}},{"name":"s2"}],
 "limits":{"header_bytes":100,"body_bytes":200,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":330000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"]}]})";

const std::string endpointText
    = R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":48,"state":"ready",)"
      R"("cold_remaining_ms":0,"sequence":4,"born":17})";

const std::string settingsText = R"(node_name = "n1"
ip_address = "10.1.0.33"
zone = "sohar"
internal_port_range = [7400,7415]
seeds = ["10.1.0.33:8785","10.2.0.18:8785"]
something_new = { a = 1 }
[listen]
frontend = "10.1.0.33:8783"
readiness = "10.1.0.33:8780"
[limits]
memory_mb = 400
[bounds]
stability_window_ms = 3500
revocation_ms = 5000
configuration_apply_ms = 3000
drain_ms = 2500
grace_period_s = 8
retry_budget_ratio = 0.2
budget_slack = 54
budget_window_s = 10
[platform]
address = "10.200.1.7:8781"
)";

/// Copies of a valid text in which a few bytes are erased, changed or inserted.
std::vector<std::string> mutated(const std::string& text, unsigned seed, int count)
{
    std::mt19937 random(seed);
    std::vector<std::string> mutants;
    for (int i = 0; i < count; ++i) {
        auto copy = text;
        for (unsigned change = 0; change <= random() % 3; ++change) {
            const auto at = random() % copy.size();
            switch (random() % 3) {
            case 0:
                copy.erase(at, 1 + random() % 20);
                break;
            case 1:
                copy[at] = static_cast<char>(random());
                break;
            default:
                copy.insert(at, 1, static_cast<char>(random()));
            }
        }
        mutants.push_back(copy);
    }
    return mutants;
}

} // namespace

TEST_CASE("A configuration is decoded into a route table [platform]")
{
    const auto table = decodeRoutes(routesText);
    REQUIRE(table.ok());
    CHECK(table->revisionNumber.value == 7);
    const auto* quote = table->routeFor("ficu.example", "/q/1");
    REQUIRE(quote);
    CHECK(quote->kind == call_kind::ResumableStream);
    CHECK(quote->attemptLimit == 2);
    CHECK(quote->splits.size() == 2);
    CHECK(quote->latencyTarget == std::chrono::milliseconds(600));
    CHECK(table->routeFor("ficu.example", "/o/")->isPublic);
    CHECK(table->routeFor("ficu.example", "/x/")->kind == call_kind::NonIdempotent);
    CHECK(table->pools.at({ "s1" }).engine->slots.value == 48);
    CHECK_FALSE(table->pools.at({ "s2" }).engine);
    CHECK(table->accountOf("k2")->value == "t1");
    CHECK(table->limits.idleTimeout == std::chrono::seconds(15));
    CHECK(table->tokensPerSecond == 330'000);
}

TEST_CASE("An incomplete or malformed configuration is refused as a whole [platform]")
{
    for (const char* text : { "", "{", "null", "[]", "{}", R"({"version":"x","routes":[],"services":[]})",
             R"({"version":1,"routes":[{"name":"a"}],"services":[]})", R"({"version":1,"routes":{},"services":[3]})" })
        CHECK_FALSE(decodeRoutes(text).ok());
}

TEST_CASE("A store entry is decoded into an endpoint [platform]")
{
    const auto endpoint = decodeEndpoint("i-1", endpointText);
    REQUIRE(endpoint.ok());
    CHECK(endpoint->id.value == "i-1");
    CHECK(endpoint->port == 8080);
    CHECK(endpoint->incarnation == 17);
    CHECK_FALSE(endpoint->isDraining);
}

TEST_CASE("A malformed store entry is refused [platform]")
{
    const auto complete = nlohmann::json::parse(endpointText);
    const auto isRefusedWith = [&](const char* key, const nlohmann::json& value) {
        auto entry = complete;
        entry[key] = value;
        return !decodeEndpoint("i-1", entry.dump()).ok();
    };
    CHECK_FALSE(isRefusedWith("unknown", 1));
    for (const char* text : { "", "7", "{}", "\xff\xfe" })
        CHECK_FALSE(decodeEndpoint("i-1", text).ok());
    CHECK(isRefusedWith("service", 1));
    for (const char* address : { "1.2.3.4", "1.2.3.4:0", "1.2.3.4:70000", "nowhere:80" })
        CHECK(isRefusedWith("address", address));
    CHECK(isRefusedWith("slots", 0));
    CHECK(isRefusedWith("slots", "1"));
    CHECK(isRefusedWith("state", "gone"));
}

// DENIED: another writer's entry, with fields missing, was used as an endpoint, and its 404s reached the callers.
TEST_CASE("A store entry without one of the fields that every endpoint writes is refused [platform]")
{
    const auto complete = nlohmann::json::parse(endpointText);
    for (const char* key :
        { "service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence" }) {
        auto entry = complete;
        entry.erase(key);
        CHECK_FALSE(decodeEndpoint("i-1", entry.dump()).ok());
        for (const auto& value : { nlohmann::json(nullptr), nlohmann::json::array(), nlohmann::json(true) }) {
            entry[key] = value;
            CHECK_FALSE(decodeEndpoint("i-1", entry.dump()).ok());
        }
    }
    auto entry = complete;
    entry["version"] = 1;
    CHECK_FALSE(decodeEndpoint("i-1", entry.dump()).ok());
    entry = complete;
    entry["sequence"] = 4.5;
    CHECK_FALSE(decodeEndpoint("i-1", entry.dump()).ok());
    entry = complete;
    entry["cold_remaining_ms"] = "0";
    CHECK_FALSE(decodeEndpoint("i-1", entry.dump()).ok());
    entry["cold_remaining_ms"] = 1250.5;
    CHECK(decodeEndpoint("i-1", entry.dump()).ok());
    entry.erase("born");
    CHECK(decodeEndpoint("i-1", entry.dump())->incarnation == 0);
}

TEST_CASE("A store page is decoded, and a value that is not base64 is refused [platform]")
{
    const auto page = decodeStorePage(
        R"({"items":[{"key":"servers/a","value":"e30=","revision":4},{"key":"servers/b","value":"***","revision":5}],"truncated":true})");
    REQUIRE(page.ok());
    CHECK(decodeValue(page->items[0].encodedValue, "a").value() == "{}");
    CHECK_FALSE(decodeValue(page->items[1].encodedValue, "b").ok());
    CHECK(page->hasMore);
    const auto odd = decodeStorePage(R"({"items":[{"key":1},{"key":"servers/c","value":"e30=","revision":6}]})");
    REQUIRE(odd.ok());
    CHECK(odd->items.size() == 1);
    CHECK(odd->unreadableItems == 1);
    CHECK(odd->faults.size() == 1);
    CHECK_FALSE(decodeStorePage(R"({"items":{"key":1}})").ok());
    CHECK_FALSE(decodeStorePage("no").ok());
    CHECK(storePageTarget("servers/i 1") == "/-/kv-range?path_prefix=&after=servers%2fi%201");
}

TEST_CASE("Prompt parts are decoded, and malformed ones are refused [platform]")
{
    prompt_metadata prompt;
    REQUIRE(decodePrompt("m", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", prompt).ok());
    CHECK(prompt.promptTokens.value == 1460);
    CHECK(prompt.sharedTokens().value == 1210);
    CHECK(prompt.cost().value == 1620);
    for (const char* counts : { "1", "1,2,3", "a,b", "-1,2", "1,", "99999999999,1" })
        CHECK_FALSE(decodePrompt("m", counts, "", prompt).ok());
    for (const char* parts : { "x", "g1:3", "1:", ":3", "1:-3", "1:3,", "11112222333344445:3" })
        CHECK_FALSE(decodePrompt("m", "1,2", parts, prompt).ok());
}

TEST_CASE("Mutated texts are either decoded or refused [platform]")
{
    constexpr unsigned seed = 5;
    constexpr int count = 2000;
    for (const auto& text : mutated(routesText, seed, count))
        static_cast<void>(decodeRoutes(text));
    for (const auto& text : mutated(endpointText, seed, count)) {
        const auto endpoint = decodeEndpoint("i-1", text);
        if (endpoint.ok())
            CHECK(endpoint->slots.value >= 1);
    }
    for (const auto& text : mutated(settingsText, seed, count)) {
        std::vector<failure> faults;
        const auto settings = parseEntrySettings(text, faults);
        CHECK(settings.ok() == faults.empty());
    }
}

TEST_CASE("The platform's settings are decoded, and unknown fields are ignored [platform]")
{
    std::vector<failure> faults;
    const auto settings = parseEntrySettings(settingsText, faults);
    REQUIRE(settings.ok());
    CHECK(settings->router.callerPort == 8783);
    CHECK(settings->router.readinessPort == 8780);
    CHECK(settings->router.peerPort == 7400);
    CHECK(settings->router.operatorPort == 7415);
    CHECK(settings->router.domain.value == "sohar");
    CHECK(settings->seeds == std::vector<std::string> { "10.1.0.33", "10.2.0.18" });
    CHECK(settings->bounds.retryAllowance == 54);
    // The last replies are written before the end of the grace period of 8 s.
    CHECK(settings->router.drainNotice + settings->bounds.drainLimit + drain_controller::replyAllowance
        < std::chrono::seconds(8));
    // Requests accepted later than 3 s after SIGTERM must finish, however long they run.
    CHECK(settings->router.drainNotice < std::chrono::milliseconds(3000));
    CHECK(settings->router.answerMemoryLimit == 100 * 1024 * 1024);
    CHECK(settings->bounds.outageStabilityWindow == std::chrono::milliseconds(3500));
    // The shorter of the limits for a change of the configuration and of an endpoint.
    CHECK(settings->bounds.changePropagationLimit == std::chrono::milliseconds(2500));
}

// LOST, memory over the limit: bytes that had arrived on thousands of connections and were not read.
TEST_CASE("The bytes that callers' connections hold unread fit into a quarter of the memory [platform]")
{
    for (const auto& [megabytes, descriptors] :
        { std::pair { 64, 4096 }, { 120, 3075 }, { 390, 6150 }, { 520, 256 } }) {
        auto text = settingsText;
        const std::string stated = "memory_mb = 400";
        text.replace(text.find(stated), stated.size(),
            "memory_mb = " + std::to_string(megabytes) + "\nfile_descriptors = " + std::to_string(descriptors));
        std::vector<failure> faults;
        const auto settings = parseEntrySettings(text, faults);
        REQUIRE(settings.ok());
        const auto& router = settings->router;
        CHECK(router.callerReceiveBuffer > 0);
        CHECK(2 * router.callerReceiveBuffer * router.callerLimit <= std::int64_t { megabytes } * 1024 * 1024 / 4);
    }
}

TEST_CASE("Every fault of the settings is reported with its place [platform]")
{
    std::vector<failure> faults;
    CHECK_FALSE(parseEntrySettings("zone = 3\n[listen]\nfrontend = \"x\"\n", faults).ok());
    const auto names = [&](const std::string& place) {
        return std::any_of(faults.begin(), faults.end(), [&](const failure& fault) { return fault.place == place; });
    };
    CHECK(names("node_name"));
    CHECK(names("zone"));
    CHECK(names("listen.frontend"));
    CHECK(names("platform.address"));
    CHECK(names("internal_port_range"));
    faults.clear();
    CHECK_FALSE(parseEntrySettings("= nothing", faults).ok());
    CHECK(faults.front().kind == failure_kind::SyntaxError);
}

TEST_CASE("A number of an entry that is too large or not whole refuses the whole entry [platform]")
{
    const auto entryWith = [](const std::string& key, const std::string& value) {
        return R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","state":"ready",)"
               R"("cold_remaining_ms":0,"sequence":4)"
            + std::string(key == "slots" ? "" : R"(,"slots":48)") + ",\"" + key + "\":" + value + "}";
    };
    CHECK(decodeEndpoint("i-1", entryWith("slots", "48"))->slots.value == 48);
    CHECK(decodeEndpoint("i-1", entryWith("slots", "48.0"))->slots.value == 48);
    for (const char* slots : { "0", "-1", "5000000000", "4294967300", "1e30", "4.7", "18446744073709551615", "\"4\"",
             "null", "[4]", "true" })
        CHECK_FALSE(decodeEndpoint("i-1", entryWith("slots", slots)).ok());
    CHECK(decodeEndpoint("i-1", entryWith("born", "1764900000000"))->incarnation == 1764900000000);
    for (const char* start : { "-1", "1e30", "18446744073709551615", "17.5", "\"17\"", "null" })
        CHECK_FALSE(decodeEndpoint("i-1", entryWith("born", start)).ok());
}

TEST_CASE("A port out of range refuses the entry [platform]")
{
    for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-80", "10.0.0.1:+80", "10.0.0.1:4294967376",
             "10.0.0.1:80x", "10.0.0.1:", "10.0.0.1", ":80", "10.0.0.1:80:90" }) {
        auto entry = nlohmann::json::parse(endpointText);
        entry["address"] = address;
        CHECK_FALSE(decodeEndpoint("i-1", entry.dump()).ok());
    }
}

TEST_CASE("A very deeply nested entry or configuration is refused [platform]")
{
    for (const char* open : { "[", "{\"a\":" }) {
        std::string text;
        for (int depth = 0; depth < 1'000'000; ++depth)
            text += open;
        CHECK_FALSE(decodeEndpoint("i-1", text).ok());
        CHECK_FALSE(decodeRoutes(text).ok());
        CHECK_FALSE(decodeStorePage(text).ok());
    }
    const auto closed = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    CHECK_FALSE(decodeEndpoint("i-1", R"({"service":)" + closed + "}").ok());
    CHECK_FALSE(decodeEndpoint("i-1", closed).ok());
}

TEST_CASE("An id that could start another header field names no endpoint [platform]")
{
    CHECK(decodeEndpoint("i-1", endpointText).ok());
    CHECK_FALSE(decodeEndpoint("", endpointText).ok());
    CHECK_FALSE(decodeEndpoint("i\r\nHold: 1", endpointText).ok());
    CHECK_FALSE(decodeEndpoint(std::string(300, 'i'), endpointText).ok());
}

TEST_CASE("A fault of an entry states its place in one short line [platform]")
{
    for (const auto& [size, place] :
        { std::pair { 10'000, "entry of i-1 service" }, std::pair { 100'000, "entry of i-1" } }) {
        const auto decoded = decodeEndpoint("i-1", R"({"service":")" + std::string(size, 'x') + "\"}");
        REQUIRE_FALSE(decoded.ok());
        const auto problem = failureOf(decoded.status());
        REQUIRE(problem);
        CHECK(problem->place == place);
        CHECK(describe(*problem).size() < 300);
    }
}

TEST_CASE("A number of the configuration that is out of range refuses the whole text [platform]")
{
    const auto replaced = [](const std::string& from, const std::string& to) {
        auto text = routesText;
        return text.replace(text.find(from), from.size(), to);
    };
    CHECK(decodeRoutes(routesText).ok());
    for (const auto& [from, to] : { std::pair { R"("version":7)", R"("version":1e30)" },
             std::pair { R"("timeout_ms":8000)", R"("timeout_ms":1e30)" },
             std::pair { R"("timeout_ms":8000)", R"("timeout_ms":-1)" },
             std::pair { R"("weight":90)", R"("weight":18446744073709551615)" },
             std::pair { R"("maximum_attempts":2)", R"("maximum_attempts":4294967298)" },
             std::pair { R"("slots":48)", R"("slots":5000000000)" },
             std::pair { R"("header_bytes":100)", R"("header_bytes":-1)" },
             std::pair { R"("tokens_per_s":330000)", R"("tokens_per_s":1e300)" },
             std::pair { R"("name":"t1")", R"("name":"t\r\nHold: 1")" } })
        CHECK_FALSE(decodeRoutes(replaced(from, to)).ok());
}

TEST_CASE("A setting that is no finite number in its range is a fault [platform]")
{
    for (const char* value : { "nan", "inf", "1e30", "-1" }) {
        auto text = settingsText;
        const std::string from = "revocation_ms = 5000";
        text.replace(text.find(from), from.size(), std::string("revocation_ms = ") + value);
        std::vector<failure> faults;
        CHECK_FALSE(parseEntrySettings(text, faults).ok());
    }
}
