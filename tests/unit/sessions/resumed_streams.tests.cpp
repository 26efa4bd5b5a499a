#include "attempt_run.hpp"

#include "kumquatbeam/duties/endpoints_duty.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include <string>
#include <vector>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;

namespace {

const auto& entry = dialects.front();
const auto& router = dialects.back();

constexpr attempt_row resumedStream { answer_delivery::Events, true };

/// An answer to a call that continues a stream after `relayedEvent`, and what follows from it.
struct resumption_row {
    std::string status;
    std::string fields;
    std::string content = body;
    attempt_outcome outcome = attempt_outcome::Broken;
};

const std::string eventStreamType = "Content-Type: text/event-stream\r\n";
const std::string& entryFields = entry.answerFields;

void checkNothingRelayed(const resumption_row& row, const std::string& interim, const framing_row& framing)
{
    CAPTURE(row.status);
    CAPTURE(row.fields);
    CAPTURE(interim);
    CAPTURE(framing.headEnd);
    attempt_run attempt(entry,
        { .opening
            = absl::StrCat(interim, "HTTP/1.1 ", row.status, "\r\n", row.fields, framing.headEnd, framing.encodedBody),
            .closes = true });
    attempt.run(resumedStream);
    const auto& ended = attempt.ended();
    CHECK(ended.outcome == row.outcome);
    // A reply to a caller who has a part of a stream breaks the stream off.
    CHECK((ended.outcome != attempt_outcome::Completed || !ended.isRelayed));
    CHECK(ended.lastEvent == relayedEvent);
    CHECK(attempt.fixture.duty.relayed.empty());
}

} // namespace

// ORDER, MIXED: callers of another system got the text of an error, and its head, in the middle of their stream.
TEST_CASE("An answer that is no event stream adds nothing to a stream that it should continue [resumed_streams]")
{
    const std::string refused = entry.refusalField;
    std::vector<resumption_row> rows {
        { "503 Full", entryFields + refused, body, attempt_outcome::Refused },
        { "429 Busy", entryFields + refused, body, attempt_outcome::Refused },
        { "421 Misdirected Request", "", body, attempt_outcome::Refused },
        { "503 Failed", entryFields },
        { "408 Late", entryFields },
        { "200 OK", eventStreamType + "Attempt-Id: call\r\n" },
        { "200 OK", eventStreamType + "Response-Seal: s\r\n" },
        { "200 OK", entryFields + eventStreamType + "Content-Encoding: gzip\r\n" },
        { "200 OK", eventStreamType + "Attempt-Id: other\r\nResponse-Seal: s\r\n" },
    };
    for (const std::string status : { "301 Moved", "302 Found", "307 Moved", "400 Bad", "404 None", "409 Conflict",
             "500 Failed", "502 Bad", "504 Late", "599 Odd" }) {
        rows.push_back({ status, entryFields, body, attempt_outcome::Completed });
        rows.push_back({ status, entryFields + eventStreamType, body, attempt_outcome::Completed });
        rows.push_back({ status, entryFields, "", attempt_outcome::Completed });
    }
    for (const auto& row : rows) {
        for (const std::string interim : { "", "HTTP/1.1 103 Early Hints\r\n\r\n" }) {
            for (const auto& framing : framingsOf(row.content))
                checkNothingRelayed(row, interim, framing);
        }
    }
}

TEST_CASE("A stream goes on with the events that its caller lacks, without a second head [resumed_streams]")
{
    for (const std::string type :
        { "", "Content-Type: text/event-stream\r\n", "Content-Type: Text/Event-Stream ; charset=utf-8\r\n" }) {
        for (const std::string repeated : { "", "id: 2\ndata: x\n\nid: 3\ndata: y\n\n" }) {
            for (const auto& framing : framingsOf(repeated + body)) {
                CAPTURE(type);
                CAPTURE(framing.headEnd);
                attempt_run attempt(entry,
                    { .opening
                        = absl::StrCat("HTTP/1.1 200 OK\r\n", entryFields, type, framing.headEnd, framing.encodedBody),
                        .closes = true });
                attempt.run(resumedStream);
                CHECK(attempt.ended().outcome == attempt_outcome::Completed);
                CHECK(attempt.ended().lastEvent == event_number { 5 });
                CHECK_FALSE(attempt.hasRelayed<answer_head>());
                CHECK(attempt.relayedBody() == body);
                CHECK(attempt.hasRelayed<answer_end>());
            }
        }
    }
}

// The endpoint before may have broken off between its last event and the end of its answer.
TEST_CASE("A stream whose rest is empty and complete is complete [resumed_streams]")
{
    for (const auto& framing : framingsOf("")) {
        CAPTURE(framing.headEnd);
        attempt_run attempt(entry,
            { .opening = absl::StrCat(
                  "HTTP/1.1 200 OK\r\n", entryFields, eventStreamType, framing.headEnd, framing.encodedBody),
                .closes = true });
        attempt.run(resumedStream);
        CHECK(attempt.ended().outcome == attempt_outcome::Completed);
        CHECK(attempt.fixture.duty.relayed.size() == 1);
        CHECK(attempt.hasRelayed<answer_end>());
    }
}

TEST_CASE("A native answer goes on only from the confirmed offset [resumed_streams]")
{
    const std::string confirmed = router.answerFields + "Resumed-At: 5\r\n";
    const std::vector<resumption_row> rows { { "200 OK", router.answerFields },
        { "200 OK", router.answerFields + "Resumed-At: 4\r\n" }, { "200 OK", "Stream-Id: other\r\nResumed-At: 5\r\n" },
        { "201 Created", confirmed }, { "204 None", confirmed }, { "206 Part", confirmed }, { "304 Same", confirmed },
        { "404 None", confirmed }, { "500 Failed", confirmed }, { "503 Failed", confirmed },
        { "503 Full", router.answerFields + router.refusalField, body, attempt_outcome::Refused } };
    for (const auto& framing : framingsOf(body)) {
        const auto answerOf = [&framing](const std::string& status, const std::string& fields) {
            return absl::StrCat("HTTP/1.1 ", status, "\r\n", fields, framing.headEnd, framing.encodedBody);
        };
        for (const auto& row : rows) {
            CAPTURE(row.status);
            CAPTURE(row.fields);
            attempt_run attempt(router, { .opening = answerOf(row.status, row.fields), .closes = true });
            attempt.run({ answer_delivery::Chunks, true });
            CHECK(attempt.ended().outcome == row.outcome);
            CHECK(attempt.ended().relayedBytes == relayedBytes);
            CHECK(attempt.fixture.duty.relayed.empty());
        }
        attempt_run attempt(router, { .opening = answerOf("200 OK", confirmed), .closes = true });
        attempt.run({ answer_delivery::Chunks, true });
        CHECK((attempt.ended().outcome == attempt_outcome::Completed) == !framing.hasNoLength);
        CHECK_FALSE(attempt.hasRelayed<answer_head>());
        CHECK(attempt.hasRelayed<answer_end>() == !framing.hasNoLength);
        CHECK(attempt.relayedBody() == (framing.hasNoLength ? "" : body));
    }
}

// MIXED, ORDER: a page with the status 200 became a part of the stream, and a 204 ended it as if it were whole.
TEST_CASE("A success that is no event stream adds nothing to a stream that it should continue [resumed_streams]")
{
    constexpr auto completed = attempt_outcome::Completed;
    std::vector<resumption_row> rows;
    for (const std::string type :
        { "text/html", "text/plain; charset=utf-8", "application/json", "text/event-streams" }) {
        const auto fields = absl::StrCat(entryFields, "Content-Type: ", type, "\r\n");
        rows.push_back({ "200 OK", fields, body, completed });
        rows.push_back({ "200 OK", fields, "", completed });
    }
    for (const std::string status :
        { "201 Created", "202 Accepted", "203 Changed", "204 None", "205 Reset", "206 Part" }) {
        rows.push_back({ status, entryFields, body, completed });
        rows.push_back({ status, entryFields + eventStreamType, body, completed });
        rows.push_back({ status, entryFields, "", completed });
    }
    for (const auto& row : rows) {
        for (const auto& framing : framingsOf(row.content))
            checkNothingRelayed(row, "", framing);
    }
}

TEST_CASE("An answer to a stream's call that is no event stream is delivered whole [resumed_streams]")
{
    const std::string page = "id: 2\n\nid: 1\n\nno end of an event";
    for (const std::string head : { "200 OK\r\nContent-Type: text/html\r\n", "201 Created\r\n", "206 Part\r\n",
             "204 None\r\n", "304 Same\r\n", "404 None\r\n", "500 Failed\r\n" }) {
        for (const auto& framing : framingsOf(page)) {
            CAPTURE(head);
            CAPTURE(framing.headEnd);
            attempt_run attempt(entry,
                { .opening = absl::StrCat("HTTP/1.1 ", head, entryFields, framing.headEnd, framing.encodedBody),
                    .closes = true });
            attempt.run({ answer_delivery::Events });
            const auto& ended = attempt.ended();
            const bool hasBody = ended.status.value != 204 && ended.status.value != 304;
            CHECK(ended.outcome == attempt_outcome::Completed);
            CHECK_FALSE(ended.isRelayed);
            CHECK(ended.body == (hasBody ? page : ""));
            CHECK(attempt.fixture.duty.relayed.empty());
        }
    }
}

// ORDER, MIXED: a resumption for which no connection was left was reported as if nothing of the answer had been
// relayed.
TEST_CASE("A resumption that finds no connection keeps what was relayed before it [resumed_streams]")
{
    router_settings settings;
    settings.endpointConnectionLimit = 0;
    duty_thread thread("test");
    duty_links links;
    duty<decision_event> decisions(thread, decisionsRing(settings));
    std::vector<attempt_ended> outcomes;
    decisions.start([&](decision_event event) { outcomes.push_back(std::get<attempt_ended>(std::move(event))); });
    links.decisions = &decisions;
    endpoints_duty endpoints(settings, { 1 }, *router.dialect, thread, links);
    endpoints.start();
    endpoints.inbox().post(
        start_attempt { .id = { 1 }, .to = {}, .call = {}, .resumeAt = relayedBytes, .resumeAfter = relayedEvent });
    thread.context().poll();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes.front().outcome == attempt_outcome::NotSent);
    CHECK(outcomes.front().relayedBytes == relayedBytes);
    CHECK(outcomes.front().lastEvent == relayedEvent);
}

// ORDER: the events that had arrived last were neither relayed nor asked for again.
TEST_CASE("A stream that is given up for lack of memory reports the events that it has relayed [resumed_streams]")
{
    for (const bool isResumed : { false, true }) {
        CAPTURE(isResumed);
        attempt_run attempt(entry,
            { .opening = absl::StrCat(
                  "HTTP/1.1 200 OK\r\n", entryFields, eventStreamType, "\r\n", body, "id: 6\ndata: partial") });
        attempt.fixture.duty.isMemoryShort = true;
        attempt.run({ answer_delivery::Events, isResumed });
        CHECK(attempt.ended().outcome == attempt_outcome::Broken);
        CHECK(attempt.relayedBody() == body);
        CHECK(attempt.ended().lastEvent == event_number { 5 });
        CHECK(attempt.ended().relayedBytes.value == body.size());
    }
}
