#include "platform/endpoint_decoder.hpp"
#include "platform/route_decoder.hpp"
#include "platform/store_page.hpp"

#include <absl/strings/escaping.h>
#include <doctest/doctest.h>

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>
#include <string>
#include <string_view>
#include <vector>

// Replaces the allocation functions of the whole test program to count the bytes in use.
namespace {

std::atomic<std::size_t> bytesInUse = 0;
std::atomic<std::size_t> mostBytesInUse = 0;

void* allocate(std::size_t size)
{
    void* const block = std::malloc(std::max<std::size_t>(size, 1));
    if (!block)
        throw std::bad_alloc();
    const auto used = bytesInUse += malloc_usable_size(block);
    mostBytesInUse = std::max<std::size_t>(mostBytesInUse, used);
    return block;
}

void release(void* block)
{
    if (block)
        bytesInUse -= malloc_usable_size(block);
    std::free(block);
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}

void* operator new(std::size_t size, const std::nothrow_t&) noexcept
{
    try {
        return allocate(size);
    } catch (const std::bad_alloc&) {
        return nullptr;
    }
}

void operator delete(void* block) noexcept
{
    release(block);
}

void operator delete(void* block, const std::nothrow_t&) noexcept
{
    release(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    release(block);
}

using namespace kumquatbeam;
using namespace kumquatbeam::platform;

namespace {

/// Size of the largest value that the store takes.
constexpr std::size_t valueSize = 1024 * 1024;

/// Bytes that a read may take for each byte that is read, and whatever its size.
constexpr std::size_t bytesPerByte = 8;
constexpr std::size_t fixedBytes = 64 * 1024;

/// Most bytes that the function takes at a time.
template <typename Function> std::size_t peakOf(Function function)
{
    const std::size_t before = bytesInUse;
    mostBytesInUse = before;
    function();
    return mostBytesInUse - before;
}

/// A text that is filled up to the size of a value with repetitions of a part.
std::string filled(std::string head, std::string_view part, std::string_view tail = "")
{
    while (head.size() + part.size() + tail.size() <= valueSize)
        head += part;
    return head += tail;
}

/// Texts that take far more memory than their size if they are built as a whole, from the root on or inside of a list.
std::vector<std::string> hoardingTexts(const std::string& list)
{
    std::vector<std::string> texts;
    const auto key = R"({")" + list + R"(":)";
    for (const std::string& head :
        { std::string(), key, key + "[", key + R"([{"unknown":)", std::string(R"({"unknown":)") }) {
        texts.push_back(filled(head, "["));
        texts.push_back(filled(head, R"({"a":)"));
        for (const char* part : { "0,", "[],", "{},", R"("",)", R"({"":0},)", "[[[]]]," })
            texts.push_back(filled(head + "[", part));
    }
    return texts;
}

} // namespace

// LOST: an entry of 1 MiB of "[" took 80 MB in each router that read it.
TEST_CASE("An entry larger than any endpoint's is refused without being parsed [read_memory]")
{
    for (const auto& text : hoardingTexts("service")) {
        CHECK(peakOf([&] { CHECK_FALSE(decodeEndpoint("i-1", text).ok()); }) < fixedBytes);
    }
}

TEST_CASE("An entry of the largest size takes memory in proportion to it, whatever it contains [read_memory]")
{
    for (const auto& text : hoardingTexts("service")) {
        const auto entry = text.substr(0, 16 * 1024);
        CHECK(peakOf([&] { CHECK_FALSE(decodeEndpoint("i-1", entry).ok()); }) < valueSize);
    }
}

TEST_CASE("A configuration takes memory in proportion to its size, whatever it contains [read_memory]")
{
    auto texts = hoardingTexts("routes");
    for (const char* part : { R"("",)", "0,", "{}," }) {
        texts.push_back(filled(R"({"tenants":[{"name":"a","api_keys":[)", part));
        texts.push_back(filled(R"({"services":[{"name":"a","engine":[)", part));
        texts.push_back(filled(R"({"limits":[)", part));
    }
    for (const auto& text : texts) {
        CAPTURE(text.substr(0, 60));
        CHECK(peakOf([&] { CHECK_FALSE(decodeRoutes(text).ok()); }) < bytesPerByte * text.size() + fixedBytes);
    }
}

TEST_CASE("A page takes memory in proportion to its size, whatever it contains [read_memory]")
{
    for (const auto& text : hoardingTexts("items")) {
        CAPTURE(text.substr(0, 60));
        const auto peak = peakOf([&] { static_cast<void>(decodeStorePage(text)); });
        CHECK(peak < bytesPerByte * text.size() + fixedBytes);
    }
}

TEST_CASE("The values of items that are not used are not kept [read_memory]")
{
    const auto page = decodeStorePage(R"({"items":[{"key":"other/a","revision":3,"value":")"
        + absl::Base64Escape(std::string(valueSize, 'x')) + R"("}],"truncated":true})");
    REQUIRE(page.ok());
    CHECK(page->items.empty());
    CHECK(page->unreadableItems == 0);
    CHECK(page->lastKey == "other/a");
    CHECK(page->hasMore);
}

// Guards against limits that a large fleet's configuration exceeds.
TEST_CASE("A valid configuration of 1 MiB is accepted within the same memory [read_memory]")
{
    std::string text = R"({"version":7,"routes":[)";
    for (std::size_t number = 0; text.size() < valueSize / 2; ++number)
        text += std::string(number == 0 ? "" : ",") + R"({"name":"r)" + std::to_string(number) + R"(","host":"host)"
            + std::to_string(number % 50) + R"(.example","path_prefix":"/p)" + std::to_string(number)
            + R"(/","kind":"idempotent","timeout_ms":8000,"target_latency_ms":600,"priority":1,"maximum_attempts":2,)"
              R"("public":false,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]})";
    text += R"(],"services":[{"name":"s1","engine":{"slots":48,"kv_cache_tokens":444000}},{"name":"s2"}],)"
            R"("limits":{"header_bytes":100,"body_bytes":200},"tenants":[)";
    std::size_t keys = 0;
    for (std::size_t number = 0; text.size() < valueSize - 100; ++number) {
        text += std::string(number == 0 ? "" : ",") + R"({"name":"t)" + std::to_string(number) + R"(","api_keys":[)";
        for (std::size_t key = 0; key < 2; ++key, ++keys)
            text += std::string(key == 0 ? "" : ",") + R"("asnmgkcuyj8p)" + std::to_string(10'000'000 + keys) + "\"";
        text += "]}";
    }
    text += "]}";
    std::size_t routes = 0;
    const auto peak = peakOf([&] {
        const auto table = decodeRoutes(text);
        REQUIRE(table.ok());
        CHECK(table->accountsByDigest.size() == keys);
        for (const auto& [host, ofHost] : table->routes)
            routes += ofHost.size();
    });
    CHECK(routes > 1'400);
    CHECK(peak < bytesPerByte * text.size() + fixedBytes);
}

TEST_CASE("An account may have a megabyte of keys [read_memory]")
{
    std::string text = R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"t","api_keys":["first")";
    std::size_t keys = 1;
    for (; text.size() < valueSize - 40; ++keys)
        text += R"(,"asnmgkcuyj8p)" + std::to_string(10'000'000 + keys) + "\"";
    const auto table = decodeRoutes(text + "]}]}");
    REQUIRE(table.ok());
    CHECK(table->accountsByDigest.size() == keys);
}
