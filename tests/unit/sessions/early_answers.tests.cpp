#include "endpoint_session_fixture.hpp"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

using namespace kumquatbeam;
using namespace kumquatbeam::testing;
using namespace std::chrono_literals;

namespace {

const std::string sealedFields = "Attempt-Id: call\r\nResponse-Seal: s\r\n";
const std::string sealedHead = "HTTP/1.1 200 OK\r\n" + sealedFields;
const std::string event = "id: 1\ndata: half\n\n";

/// More than the kernel buffers, so that the request is still being written when the answer arrives.
constexpr std::size_t longUploadBytes = 8 * 1024 * 1024;

/// The deadline of the attempts. An answer that cannot be complete must end the attempt long before.
constexpr auto deadline = 10s;

/// Time within which such an attempt must end.
constexpr auto limit = 3s;

/// Connections for each case: the order of the write's error and of the end of the answer may differ between them.
constexpr int repetitions = 10;

constexpr auto deliveries
    = std::to_array({ answer_delivery::Buffered, answer_delivery::Events, answer_delivery::Chunks });

/// When the session is told that the caller has received a relayed chunk.
enum class acknowledgement { AtOnce, Late };

/// Longer than the scripts' pauses before the end of a connection.
constexpr auto lateAcknowledgement = 40ms;

/// Has an attempt answered by the script, and checks its outcome.
class answered_attempt {
public:
    answered_attempt(server_script script, answer_delivery delivery, std::size_t uploadBytes = 0,
        acknowledgement acknowledges = acknowledgement::AtOnce)
        : fixture(std::move(script))
    {
        auto attempt = fixture.attempt(deadline, delivery);
        auto call = *attempt.call;
        call.body.assign(uploadBytes, 'x');
        attempt.call = std::make_shared<const call_request>(std::move(call));
        const auto session = fixture.start(std::move(attempt));
        std::size_t acknowledged = 0;
        auto& duty = fixture.duty;
        runUntil(
            fixture.context,
            [&] {
                if (!duty.outcomes.empty())
                    return true;
                if (duty.relayed.size() == acknowledged)
                    return false;
                acknowledged = duty.relayed.size();
                if (acknowledges == acknowledgement::Late)
                    runUntil(
                        fixture.context, [] { return false; }, lateAcknowledgement);
                session->onChunkConsumed();
                return !duty.outcomes.empty();
            },
            limit);
    }

    /// Checks that the attempt ended as broken, and that neither an outcome nor a relayed command says otherwise.
    void checkBroken() const
    {
        const auto& duty = fixture.duty;
        REQUIRE(duty.outcomes.size() == 1);
        CHECK(duty.outcomes.front().outcome == attempt_outcome::Broken);
        CHECK(duty.outcomes.front().body.empty());
        CHECK_FALSE(hasRelayedEnd());
        CHECK(duty.pool.isEmpty());
    }

    /// Checks that the attempt ended with this complete answer.
    void checkCompleted(const std::string& body) const
    {
        const auto& duty = fixture.duty;
        REQUIRE(duty.outcomes.size() == 1);
        const auto& ended = duty.outcomes.front();
        CHECK(ended.outcome == attempt_outcome::Completed);
        CHECK(ended.status.value == 200);
        CHECK((ended.isRelayed ? relayedBody() : ended.body) == body);
        CHECK(hasRelayedEnd() == ended.isRelayed);
        CHECK(duty.pool.isEmpty());
    }

    endpoint_session_fixture fixture;

private:
    bool hasRelayedEnd() const
    {
        const auto& relayed = fixture.duty.relayed;
        return std::any_of(relayed.begin(), relayed.end(),
            [](const auto& command) { return std::holds_alternative<answer_end>(command); });
    }

    std::string relayedBody() const
    {
        std::string body;
        for (const auto& command : fixture.duty.relayed) {
            if (const auto* chunk = std::get_if<answer_chunk>(&command))
                body += chunk->bytes;
        }
        return body;
    }
};

/// Checks that an answer to a long upload that states no length is not complete, however its connection ends.
void checkBrokenUpload(const server_script& script)
{
    for (const auto delivery : deliveries) {
        for (const auto acknowledges : { acknowledgement::AtOnce, acknowledgement::Late }) {
            for (int repetition = 0; repetition < repetitions; ++repetition) {
                CAPTURE(static_cast<int>(delivery));
                CAPTURE(static_cast<int>(acknowledges));
                answered_attempt(script, delivery, longUploadBytes, acknowledges).checkBroken();
            }
        }
    }
}

} // namespace

// The failed write consumes the socket's error, and the read behind it sees a regular end of the connection. Such a
// part of an answer reached a caller as the whole.
TEST_CASE("An answer without length is not complete if its connection is reset during the upload [early_answers]")
{
    checkBrokenUpload({ .opening = sealedHead + "\r\n" + event, .resets = true, .readsOnce = true });
}

TEST_CASE("The same holds if the answer was read some time before the reset [early_answers]")
{
    checkBrokenUpload({ .opening = sealedHead + "\r\n" + event, .resets = true, .readsOnce = true, .endPause = 10ms });
}

TEST_CASE("The same holds for an answer without a byte of its body [early_answers]")
{
    checkBrokenUpload({ .opening = sealedHead + "\r\n", .resets = true, .readsOnce = true });
    checkBrokenUpload({ .opening = sealedHead + "\r\n", .resets = true, .readsOnce = true, .endPause = 10ms });
}

TEST_CASE("An answer without length is not complete if its connection is closed during the upload [early_answers]")
{
    checkBrokenUpload({ .opening = sealedHead + "\r\n" + event, .readsOnce = true, .closes = true });
    checkBrokenUpload({ .opening = sealedHead + "\r\n" + event, .readsOnce = true, .closes = true, .endPause = 10ms });
}

// The read's end of file comes first here, and the write fails never.
TEST_CASE("An answer without length is not complete if the endpoint ends it during the upload [early_answers]")
{
    checkBrokenUpload({ .opening = sealedHead + "\r\n" + event, .readsOnce = true, .endsSending = true });
    checkBrokenUpload(
        { .opening = sealedHead + "\r\n" + event, .readsOnce = true, .endsSending = true, .endPause = 10ms });
}

TEST_CASE("A reset during the upload without an answer leaves the outcome open [early_answers]")
{
    checkBrokenUpload({ .opening = "", .resets = true, .readsOnce = true });
    checkBrokenUpload({ .opening = "HTTP/1.1 200", .resets = true, .readsOnce = true, .endPause = 10ms });
}

TEST_CASE("A broken answer with a length or with chunks is not complete during the upload either [early_answers]")
{
    checkBrokenUpload(
        { .opening = sealedHead + "Content-Length: 100\r\n\r\n" + event, .resets = true, .readsOnce = true });
    checkBrokenUpload({ .opening = sealedHead + "Transfer-Encoding: chunked\r\n\r\n12\r\n" + event + "\r\n",
        .resets = true,
        .readsOnce = true });
}

TEST_CASE("A whole answer to an upload that was never finished is complete [early_answers]")
{
    for (const auto& framed : { "Content-Length: 18\r\n\r\n" + event,
             "Transfer-Encoding: chunked\r\n\r\n12\r\n" + event + "\r\n0\r\n\r\n" }) {
        for (const auto delivery : deliveries) {
            for (int repetition = 0; repetition < repetitions; ++repetition) {
                CAPTURE(framed);
                CAPTURE(static_cast<int>(delivery));
                for (const auto pause : { 0ms, 10ms }) {
                    answered_attempt(
                        { .opening = sealedHead + framed, .resets = true, .readsOnce = true, .endPause = pause },
                        delivery, longUploadBytes)
                        .checkCompleted(event);
                }
                answered_attempt({ .opening = sealedHead + framed, .readsOnce = true }, delivery, longUploadBytes)
                    .checkCompleted(event);
            }
        }
    }
}

TEST_CASE("An answer without length to a request that was read whole is complete [early_answers]")
{
    const auto answerToTheEnd = absl::StrCat(sealedHead, "\r\n", event);
    for (const auto delivery : deliveries) {
        for (int repetition = 0; repetition < repetitions; ++repetition) {
            CAPTURE(static_cast<int>(delivery));
            answered_attempt({ .opening = answerToTheEnd, .closes = true }, delivery).checkCompleted(event);
            answered_attempt({ .opening = answerToTheEnd, .endsSending = true }, delivery).checkCompleted(event);
        }
    }
}

namespace {

/// How an answer's body may be framed. The first one ends with its connection.
const auto framings = std::to_array<std::string>({ "\r\n" + event, "Content-Length: 18\r\n\r\n" + event,
    "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n12\r\n" + event + "\r\n0\r\n\r\n" });

} // namespace

// An endpoint in trouble answered with the status 000, and its caller got that as the answer.
TEST_CASE("An answer whose status is none of HTTP's is not an answer [early_answers]")
{
    for (const std::string status :
        { "000", "0", "1", "20", "99", "099", "001", "600", "700", "999", "1000", "2000", "2xx", "-20", "" }) {
        for (const auto& fields : { sealedFields, sealedFields + "Not-Executed: 1\r\n" }) {
            for (const auto& framing : framings) {
                for (const auto delivery : deliveries) {
                    CAPTURE(status);
                    CAPTURE(fields);
                    CAPTURE(framing);
                    CAPTURE(static_cast<int>(delivery));
                    const bool endsWithConnection = framing == framings.front();
                    answered_attempt({ .opening = absl::StrCat("HTTP/1.1 ", status, " Odd\r\n", fields, framing),
                                         .closes = endsWithConnection },
                        delivery)
                        .checkBroken();
                }
            }
        }
    }
}

TEST_CASE("What follows an answer whose status is none of HTTP's is not an answer [early_answers]")
{
    for (const std::string status : { "000", "099", "600", "999" }) {
        for (const auto delivery : deliveries) {
            CAPTURE(status);
            CAPTURE(static_cast<int>(delivery));
            answered_attempt({ .opening = absl::StrCat("HTTP/1.1 ", status, " Odd\r\n", sealedFields,
                                   "Content-Length: 0\r\n\r\n", sealedHead, framings[1]) },
                delivery)
                .checkBroken();
        }
    }
}

TEST_CASE("An interim answer is skipped and never final [early_answers]")
{
    for (const std::string status : { "100", "101", "102", "103", "199" }) {
        for (const auto delivery : deliveries) {
            CAPTURE(status);
            CAPTURE(static_cast<int>(delivery));
            const auto interim = absl::StrCat("HTTP/1.1 ", status, " Interim\r\n", sealedFields);
            answered_attempt({ .opening = absl::StrCat(interim, "\r\n", sealedHead, framings[1]) }, delivery)
                .checkCompleted(event);
            answered_attempt(
                { .opening = absl::StrCat(interim, "Not-Executed: 1\r\n\r\n", sealedHead, framings[3]) }, delivery)
                .checkCompleted(event);
            answered_attempt({ .opening = interim + "\r\n", .closes = true }, delivery).checkBroken();
            answered_attempt({ .opening = interim + "Not-Executed: 1\r\n\r\n", .closes = true }, delivery)
                .checkBroken();
            // Interim answers have no body, so these bytes begin the next answer.
            for (const auto& framing : { framings[0], framings[1], framings[3] })
                answered_attempt({ .opening = interim + framing, .closes = true }, delivery).checkBroken();
        }
    }
}
