#include "platform/json_fields.hpp"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <array>
#include <vector>

using namespace kumquatbeam;
using namespace kumquatbeam::platform;
using nlohmann::json;

namespace {

/// What a text is decoded into: its root and the elements of its list "rows".
struct decoded_text {
    absl::StatusOr<json> root;
    std::vector<json> rows;
};

decoded_text decode(const std::string& text)
{
    decoded_text decoded;
    const std::array lists { json_list { "rows", [&](json& row) { decoded.rows.push_back(row); } } };
    decoded.root = decodeJson(text, "text", lists, [](const json& root) { return root; });
    return decoded;
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string zeros(std::size_t count)
{
    std::string list = "[";
    for (std::size_t i = 0; i < count; ++i)
        list += i == 0 ? "0" : ",0";
    return list + "]";
}

} // namespace

TEST_CASE("A text is built as it is written, apart from the lists that are decoded element by element [json_builder]")
{
    for (const char* text : { "null", "7", R"("a")", "[]", "{}", R"([1,-1,2.5,true,null,"a",[],{}])",
             R"({"a":{"rows":[1,{"b":[2]}]},"c":[{"rows":3}],"rows":4})" }) {
        const auto decoded = decode(text);
        REQUIRE(decoded.root.ok());
        CHECK(*decoded.root == json::parse(text));
        CHECK(decoded.rows.empty());
    }
    const auto decoded = decode(R"({"a":[1],"rows":[1,[],{"b":[2,{"c":"d"}]},null,"e"],"z":{"rows":[5]}})");
    REQUIRE(decoded.root.ok());
    CHECK(*decoded.root == json::parse(R"({"a":[1],"rows":[],"z":{"rows":[5]}})"));
    CHECK(decoded.rows == std::vector<json> { 1, json::array(), { { "b", { 2, { { "c", "d" } } } } }, nullptr, "e" });
}

TEST_CASE("A malformed text is refused, and the failure quotes only its beginning [json_builder]")
{
    for (const char* text : { "", "{", "[1", R"({"rows":[1,2)", R"({"rows":[1]}x)", R"({"rows":[1e999]})", "\xff" })
        CHECK_FALSE(decode(text).root.ok());
    const auto decoded = decode("\"" + std::string(1'000'000, 'x'));
    REQUIRE_FALSE(decoded.root.ok());
    CHECK(failureOf(decoded.root.status())->kind == failure_kind::SyntaxError);
    CHECK(decoded.root.status().message().size() < 400);
}

TEST_CASE("A list that a text has twice is refused instead of being decoded twice [json_builder]")
{
    for (const char* text : { R"({"rows":[1],"rows":[2]})", R"({"rows":1,"rows":[2]})" }) {
        const auto decoded = decode(text);
        REQUIRE_FALSE(decoded.root.ok());
        CHECK(failureOf(decoded.root.status())->kind == failure_kind::DuplicateName);
    }
}

// Guards against a text that takes many times its size in memory, or a stack that grows with its depth.
TEST_CASE("A text over the limits of nesting or of values is refused [json_builder]")
{
    CHECK(decode(nested(json_builder::depthLimit)).root.ok());
    CHECK_FALSE(decode(nested(json_builder::depthLimit + 1)).root.ok());
    CHECK(decode(zeros(json_builder::valueLimit - 1)).root.ok());
    CHECK_FALSE(decode(zeros(json_builder::valueLimit)).root.ok());
    CHECK_FALSE(decode(R"({"a":)" + zeros(json_builder::valueLimit) + "}").root.ok());
}

TEST_CASE("An element over the limits is passed as a discarded value, and the other elements hold [json_builder]")
{
    const auto inner = json_builder::depthLimit - 2;
    for (const auto& row : { nested(inner + 1), R"({"a":)" + nested(inner) + R"(,"b":{"c":[1]}})",
             zeros(json_builder::valueLimit), R"({"a":)" + zeros(json_builder::valueLimit) + R"(,"b":1})" }) {
        const auto decoded
            = decode(absl::StrCat(R"({"first":1,"rows":[[1],)", row, R"(,{"a":2},)", row, R"(],"last":[3]})"));
        REQUIRE(decoded.root.ok());
        CHECK(*decoded.root == json::parse(R"({"first":1,"rows":[],"last":[3]})"));
        REQUIRE(decoded.rows.size() == 4);
        CHECK(decoded.rows[0] == json::array({ 1 }));
        CHECK(decoded.rows[1].is_discarded());
        CHECK(decoded.rows[2] == json::parse(R"({"a":2})"));
        CHECK(decoded.rows[3].is_discarded());
    }
}

TEST_CASE("The limit of values counts each element of a list on its own [json_builder]")
{
    const auto half = zeros(json_builder::valueLimit / 2);
    const auto decoded = decode(R"({"rows":[)" + half + "," + half + "," + half + "," + half + "]}");
    REQUIRE(decoded.root.ok());
    REQUIRE(decoded.rows.size() == 4);
    for (const auto& row : decoded.rows)
        CHECK(row.size() == json_builder::valueLimit / 2);
}
