#include "attempt_run.hpp"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include <string>
#include <vector>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;

namespace {

/// Heads of answers, each with an interim answer before it in the last rows.
std::vector<std::string> headsOf(const dialect_row& dialect)
{
    const auto framings = framingsOf(body);
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const auto success = "HTTP/1.1 200 OK\r\n" + dialect.answerFields;
    return { success + framings[0].headEnd, success + framings[1].headEnd, success + framings[2].headEnd,
        "HTTP/1.1 500 Failed\r\n" + dialect.answerFields + framings[0].headEnd,
        "HTTP/1.1 503 Full\r\n" + dialect.answerFields + dialect.refusalField + "Content-Length: 0\r\n\r\n",
        interim + success + framings[0].headEnd };
}

} // namespace

// MIXED, ORDER: callers of another system got a 200 with an empty or short body, framed as whole.
TEST_CASE("An answer that breaks off in its head is no answer [broken_answers]")
{
    for (const auto& dialect : dialects) {
        for (const auto& head : headsOf(dialect)) {
            for (std::size_t cut = 0; cut < head.size(); ++cut) {
                const auto& row = attemptRows[cut % attemptRows.size()];
                for (const auto& connectionEnd : connectionEnds) {
                    CAPTURE(dialect.name);
                    CAPTURE(head.substr(0, cut));
                    attempt_run attempt(dialect, scriptOf(connectionEnd, head.substr(0, cut)));
                    attempt.run(row);
                    attempt.checkBrokenAtHead();
                }
            }
        }
    }
}

TEST_CASE("An answer that breaks off in its head on a kept connection is no answer [broken_answers]")
{
    const auto& dialect = dialects.front();
    for (const auto& head : headsOf(dialect)) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const auto& row = attemptRows[cut % attemptRows.size()];
            for (const auto& connectionEnd : connectionEnds) {
                CAPTURE(head.substr(0, cut));
                attempt_run attempt(
                    dialect, { .opening = "HTTP/1.1 200 OK\r\n" + dialect.answerFields + "Content-Length: 0\r\n\r\n" });
                attempt.run({});
                REQUIRE(attempt.ended().outcome == attempt_outcome::Completed);
                attempt.fixture.server.followOnNextRequest(scriptOf(connectionEnd, head.substr(0, cut)));
                attempt.run(row);
                attempt.checkBrokenAtHead();
                CHECK(attempt.fixture.server.connections() == 1);
            }
        }
    }
}

TEST_CASE("An answer that breaks off in its body is relayed as far as it came and never as whole [broken_answers]")
{
    for (const auto& dialect : dialects) {
        for (const auto& framing : framingsOf(body)) {
            // Only a reset shows that an answer without length is not whole, even behind its last byte.
            const auto cuts = framing.encodedBody.size() + (framing.hasNoLength ? 1 : 0);
            for (std::size_t cut = 0; cut < cuts; ++cut) {
                for (const auto& connectionEnd : connectionEnds) {
                    if (framing.hasNoLength && dialect.allowsNoLength && !connectionEnd.resets)
                        continue;
                    for (const auto delivery :
                        { answer_delivery::Buffered, answer_delivery::Chunks, answer_delivery::Events }) {
                        CAPTURE(dialect.name);
                        CAPTURE(framing.headEnd);
                        CAPTURE(cut);
                        attempt_run attempt(dialect,
                            scriptOf(connectionEnd,
                                absl::StrCat("HTTP/1.1 200 OK\r\n", dialect.answerFields, framing.headEnd,
                                    framing.encodedBody.substr(0, cut))));
                        attempt.run({ delivery });
                        CHECK(attempt.ended().outcome == attempt_outcome::Broken);
                        CHECK(attempt.ended().body.empty());
                        CHECK_FALSE(attempt.hasRelayed<answer_end>());
                        const auto relayed = attempt.relayedBody();
                        CHECK(body.starts_with(relayed));
                        CHECK(attempt.ended().relayedBytes.value == relayed.size());
                        if (delivery == answer_delivery::Events) {
                            CHECK((relayed.empty() || relayed.ends_with("\n\n")));
                            CHECK(attempt.ended().lastEvent.has_value() == !relayed.empty());
                        }
                    }
                }
            }
        }
    }
}

// MIXED: an answer without a body was relayed in chunks, whose last one preceded the next answer on the connection.
TEST_CASE("An answer that has no body is not relayed in chunks [broken_answers]")
{
    for (const auto& dialect : dialects) {
        for (const std::string status : { "204 None", "304 Same" }) {
            for (const auto delivery :
                { answer_delivery::Buffered, answer_delivery::Chunks, answer_delivery::Events }) {
                CAPTURE(dialect.name);
                CAPTURE(status);
                attempt_run attempt(dialect,
                    { .opening = absl::StrCat("HTTP/1.1 ", status, "\r\n", dialect.answerFields,
                          "Connection: close\r\nContent-Length: 0\r\n\r\n") });
                attempt.run({ delivery });
                CHECK(attempt.ended().outcome == attempt_outcome::Completed);
                CHECK_FALSE(attempt.ended().isRelayed);
                CHECK(attempt.fixture.duty.relayed.empty());
            }
        }
    }
}
