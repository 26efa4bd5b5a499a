#pragma once

#include "endpoint_session_fixture.hpp"

#include "kumquatbeam/codec/native_dialect.hpp"

#include <doctest/doctest.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace kumquatbeam::testing {

using namespace std::chrono_literals;

/// The deadline of the attempts. An answer that breaks off must end the attempt long before.
inline constexpr auto attemptDeadline = 10s;

/// Time within which such an attempt must end.
inline constexpr auto attemptLimit = 3s;

/// What an earlier attempt has relayed of a resumed answer.
inline constexpr event_number relayedEvent { 3 };
inline constexpr byte_count relayedBytes { 5 };

inline const std::string body = "id: 4\ndata: a\n\nid: 5\ndata: bc\n\n";

/// An interface to endpoints, and the fields that its answers need.
struct dialect_row {
    std::string name;
    std::shared_ptr<const endpoint_dialect> dialect;
    std::string answerFields;
    std::string refusalField;
    /// Whether the end of the connection may mark the end of an answer.
    bool allowsNoLength = false;
};

inline const auto dialects = std::to_array<dialect_row>({
    { "platform", std::make_shared<platform::platform_endpoint_dialect>(), "Attempt-Id: call\r\nResponse-Seal: s\r\n",
        "Not-Executed: 1\r\n", true },
    { "native", std::make_shared<native_endpoint_dialect>(), "Stream-Id: stream\r\n", "Not-Run: 1\r\n" },
});

/// What an attempt is for.
struct attempt_row {
    answer_delivery delivery = answer_delivery::Buffered;
    bool isResumed = false;
};

inline const auto attemptRows = std::to_array<attempt_row>({ { answer_delivery::Buffered }, { answer_delivery::Chunks },
    { answer_delivery::Events }, { answer_delivery::Events, true }, { answer_delivery::Chunks, true } });

/// How an endpoint ends a connection: in order, with a reset, or in its own direction only.
inline const auto connectionEnds
    = std::to_array<server_script>({ { .closes = true }, { .resets = true }, { .endsSending = true } });

inline server_script scriptOf(server_script connectionEnd, std::string opening)
{
    connectionEnd.opening = std::move(opening);
    return connectionEnd;
}

inline std::string chunksOf(const std::string& bytes)
{
    constexpr std::size_t chunkSize = 20;
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += chunkSize) {
        const auto chunk = bytes.substr(at, chunkSize);
        absl::StrAppend(&text, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
    }
    return text + "0\r\n\r\n";
}

/// A framing of a body: what ends the head, and the encoded body.
struct framing_row {
    std::string headEnd;
    std::string encodedBody;
    /// Whether only the end of the connection ends the body.
    bool hasNoLength = false;
};

inline std::array<framing_row, 3> framingsOf(const std::string& content)
{
    return { framing_row { absl::StrCat("Content-Length: ", content.size(), "\r\n\r\n"), content },
        framing_row { "Transfer-Encoding: chunked\r\n\r\n", chunksOf(content) },
        framing_row { "\r\n", content, true } };
}

/// Makes an attempt and records what becomes of it.
class attempt_run {
public:
    attempt_run(const dialect_row& dialect, server_script script)
        : fixture(std::move(script))
    {
        fixture.duty.setDialect(dialect.dialect);
    }

    void run(const attempt_row& row)
    {
        auto& duty = fixture.duty;
        duty.outcomes.clear();
        duty.relayed.clear();
        auto attempt = fixture.attempt(attemptDeadline, row.delivery);
        if (row.isResumed && row.delivery == answer_delivery::Events)
            attempt.resumeAfter = relayedEvent;
        else if (row.isResumed)
            attempt.resumeAt = relayedBytes;
        const auto session = fixture.start(std::move(attempt));
        std::size_t acknowledged = 0;
        runUntil(
            fixture.context,
            [&] {
                if (std::exchange(acknowledged, duty.relayed.size()) < duty.relayed.size())
                    session->onChunkConsumed();
                return !duty.outcomes.empty();
            },
            attemptLimit);
    }

    const attempt_ended& ended() const
    {
        REQUIRE(fixture.duty.outcomes.size() == 1);
        return fixture.duty.outcomes.front();
    }

    std::string relayedBody() const
    {
        std::string relayed;
        for (const auto& command : fixture.duty.relayed) {
            if (const auto* chunk = std::get_if<answer_chunk>(&command))
                relayed += chunk->bytes;
        }
        return relayed;
    }

    template <typename Command> bool hasRelayed() const
    {
        return std::any_of(fixture.duty.relayed.begin(), fixture.duty.relayed.end(),
            [](const auto& command) { return std::holds_alternative<Command>(command); });
    }

    /// Checks that the attempt has ended as broken before anything of its answer was relayed.
    void checkBrokenAtHead() const
    {
        CHECK(ended().outcome == attempt_outcome::Broken);
        CHECK(ended().body.empty());
        CHECK(fixture.duty.relayed.empty());
        CHECK(fixture.duty.pool.isEmpty());
    }

    endpoint_session_fixture fixture;
};

} // namespace kumquatbeam::testing
