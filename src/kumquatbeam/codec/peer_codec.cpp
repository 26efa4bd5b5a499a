#include "kumquatbeam/codec/peer_codec.hpp"

#include "kumquatbeam/codec/generated/peer_frames_generated.h"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/invariant.hpp"
#include "kumquatbeam/types/number_text.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace kumquatbeam {

namespace {

    using builder = flatbuffers::FlatBufferBuilder;
    using packed_body = flatbuffers::Offset<void>;

    constexpr std::int64_t noDeadline = -1;

    /// @{ Ranges of the numbers in a frame. A frame with a number out of range is refused, since sums and deadlines
    /// made of it could overflow.
    constexpr number_range<std::int64_t> remainingRange { 0,
        std::chrono::milliseconds(std::chrono::hours(24)).count() };
    constexpr number_range<std::int64_t> callRange { 0, 1'000'000 };
    constexpr number_range<std::int64_t> tokenRange { 0, 1'000'000'000'000 };
    constexpr number_range<std::int64_t> serviceRange { -1'000'000'000'000'000, 1'000'000'000'000'000 };
    /// @}

    /// A packed body and the tag of its type.
    struct tagged_body {
        frames::body tag;
        packed_body body;
    };

    std::int64_t toRemaining(std::optional<time_point> deadline, time_point now)
    {
        if (!deadline)
            return noDeadline;
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(*deadline, now) - now).count();
    }

    std::optional<time_point> toDeadline(std::int64_t remaining, time_point now)
    {
        if (remaining < 0)
            return std::nullopt;
        return now + std::chrono::milliseconds(std::min(remaining, remainingRange.highest));
    }

    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> packBytes(builder& out, const std::string& bytes)
    {
        return out.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    }

    std::string unpackText(const flatbuffers::String* text)
    {
        return text ? text->str() : std::string {};
    }

    std::string unpackBytes(const flatbuffers::Vector<std::uint8_t>* bytes)
    {
        return bytes ? std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size()) : std::string {};
    }

    tagged_body pack(builder& out, const peer_hello& message, time_point)
    {
        const auto from = out.CreateString(message.from.value);
        const auto domain = out.CreateString(message.domain.value);
        return { frames::body::greeting, frames::Creategreeting(out, from, message.incarnation.value, domain).Union() };
    }

    tagged_body pack(builder& out, const peer_heartbeat& message, time_point)
    {
        std::vector<std::uint32_t> leaving;
        for (const auto& key : message.leavingEndpoints)
            leaving.push_back(key.value);
        const auto rows = leaving.empty() ? 0 : out.CreateVector(leaving);
        return { frames::body::heartbeat,
            frames::Createheartbeat(out, message.document.value, message.members.value, message.isDraining, rows)
                .Union() };
    }

    tagged_body pack(builder& out, const document_request& message, time_point)
    {
        return { frames::body::document_request, frames::Createdocument_request(out, message.newerThan.value).Union() };
    }

    tagged_body pack(builder& out, const document_offer& message, time_point)
    {
        const auto text = out.CreateString(message.text);
        return { frames::body::document_offer,
            frames::Createdocument_offer(out, message.revisionNumber.value, text).Union() };
    }

    tagged_body pack(builder& out, const order_forward& message, time_point now)
    {
        const auto& call = message.call;
        const auto ticket = out.CreateString(toText(message.ticket));
        const auto credential = out.CreateString(call.credential);
        const auto pool = out.CreateString(call.pool.value);
        const auto target = out.CreateString(call.target);
        const auto body = packBytes(out, call.body);
        const auto type = out.CreateString(call.contentType);
        return { frames::body::order_forward,
            frames::Createorder_forward(out, message.id.value, ticket, credential, pool,
                static_cast<std::uint8_t>(call.effect), target, body, type,
                static_cast<std::uint8_t>(call.urgencyClass), toRemaining(call.deadline, now))
                .Union() };
    }

    tagged_body pack(builder& out, const order_outcome& message, time_point now)
    {
        const auto& reply = message.reply;
        const auto problem = reply.problem.value_or(failure {});
        const auto kind = out.CreateString(std::string(nameOf(problem.kind)));
        const auto place = out.CreateString(problem.place);
        const auto found = out.CreateString(problem.found);
        const auto allowed = out.CreateString(problem.allowed);
        const auto type = out.CreateString(reply.contentType);
        const auto body = packBytes(out, reply.body);
        const auto ticket = out.CreateString(reply.ticket ? toText(*reply.ticket) : std::string {});
        return { frames::body::order_outcome,
            frames::Createorder_outcome(out, message.id.value, static_cast<std::uint8_t>(reply.kind), kind, place,
                found, allowed, reply.status.value, type, body, ticket, toRemaining(reply.retryAt, now))
                .Union() };
    }

    std::uint16_t toShortCount(std::uint32_t count)
    {
        constexpr std::uint32_t largest = std::numeric_limits<std::uint16_t>::max();
        return static_cast<std::uint16_t>(std::min(count, largest));
    }

    tagged_body pack(builder& out, const slot_report& message, time_point)
    {
        std::vector<frames::report_account> accounts;
        for (const auto& row : message.accounts)
            accounts.emplace_back(
                row.account.value, toShortCount(row.waiting), toShortCount(row.running), row.served.value);
        std::vector<frames::report_endpoint> endpoints;
        for (const auto& row : message.endpoints)
            endpoints.emplace_back(row.endpoint.value, static_cast<std::uint16_t>(row.leased.value),
                static_cast<std::uint16_t>(row.running.value));
        const auto accountRows = accounts.empty() ? 0 : out.CreateVectorOfStructs(accounts);
        const auto endpointRows = endpoints.empty() ? 0 : out.CreateVectorOfStructs(endpoints);
        return { frames::body::slot_report,
            frames::Createslot_report(out, message.pool.value, message.document.value, accountRows, endpointRows)
                .Union() };
    }

    tagged_body pack(builder& out, const slot_grant& message, time_point)
    {
        std::vector<frames::grant_account> accounts;
        for (const auto& row : message.accounts)
            accounts.emplace_back(row.account.value, row.quota, row.lead.value);
        std::vector<frames::grant_endpoint> endpoints;
        for (const auto& row : message.endpoints)
            endpoints.emplace_back(row.endpoint.value, static_cast<std::uint32_t>(row.leased.value));
        const auto accountRows = accounts.empty() ? 0 : out.CreateVectorOfStructs(accounts);
        const auto endpointRows = endpoints.empty() ? 0 : out.CreateVectorOfStructs(endpoints);
        return { frames::body::slot_grant,
            frames::Createslot_grant(out, message.pool.value, message.document.value, message.sequence,
                message.remaining.count(), accountRows, endpointRows)
                .Union() };
    }

    tagged_body pack(builder& out, const fleet_heartbeat& message, time_point)
    {
        std::vector<flatbuffers::Offset<frames::known_router>> knownRouters;
        for (const auto& router : message.knownRouters) {
            const auto id = out.CreateString(router.id.value);
            knownRouters.push_back(frames::Createknown_router(out, id, out.CreateString(router.address)));
        }
        std::vector<frames::beat_endpoint> endpoints;
        for (const auto& row : message.endpoints)
            endpoints.emplace_back(
                row.endpoint.value, toShortCount(row.running), row.prefillRate, row.prefillTokens.value);
        std::vector<frames::beat_account> accounts;
        for (const auto& row : message.accounts)
            accounts.emplace_back(row.account.value, static_cast<std::uint32_t>(row.requestedPerSecond.value),
                static_cast<std::uint32_t>(row.admittedPerSecond.value));
        std::vector<frames::beat_leaving> leaving;
        for (const auto& row : message.leavingEndpoints)
            leaving.emplace_back(row.endpoint.value, row.incarnation);
        const auto leavingRows = leaving.empty() ? 0 : out.CreateVectorOfStructs(leaving);
        const auto from = out.CreateString(message.from.value);
        const auto domain = out.CreateString(message.domain.value);
        const auto address = out.CreateString(message.address);
        const auto knownRows = out.CreateVector(knownRouters);
        const auto endpointRows = out.CreateVectorOfStructs(endpoints);
        const auto accountRows = out.CreateVectorOfStructs(accounts);
        return { frames::body::fleet_beat,
            frames::Createfleet_beat(out, from, message.incarnation.value, domain, address, message.sequence,
                message.routes.value, message.isLeaving, knownRows, endpointRows, accountRows, leavingRows)
                .Union() };
    }

    std::optional<peer_message> unpack(const frames::greeting& body, time_point)
    {
        return peer_hello { { unpackText(body.from()) }, { body.life() }, { unpackText(body.domain()) } };
    }

    std::optional<peer_message> unpack(const frames::heartbeat& body, time_point)
    {
        peer_heartbeat message { { body.document() }, { body.members() }, body.is_draining(), {} };
        if (body.leaving_endpoints()) {
            for (const auto key : *body.leaving_endpoints())
                message.leavingEndpoints.push_back({ key });
        }
        return message;
    }

    std::optional<peer_message> unpack(const frames::document_request& body, time_point)
    {
        return document_request { { body.newer_than() } };
    }

    std::optional<peer_message> unpack(const frames::document_offer& body, time_point)
    {
        return document_offer { { body.current() }, unpackText(body.text()) };
    }

    std::optional<peer_message> unpack(const frames::order_forward& body, time_point now)
    {
        const auto ticket = parseOrderTicket(unpackText(body.ticket()));
        if (!ticket || body.effect() > static_cast<std::uint8_t>(call_effect::Write) || body.urgency() >= urgencyCount)
            return std::nullopt;
        order_forward message { { body.request() }, *ticket, {} };
        auto& call = message.call;
        call.credential = unpackText(body.credential());
        call.pool = { unpackText(body.pool()) };
        call.effect = static_cast<call_effect>(body.effect());
        call.target = unpackText(body.target());
        call.body = unpackBytes(body.body());
        call.contentType = unpackText(body.content_type());
        call.urgencyClass = static_cast<urgency>(body.urgency());
        call.deadline = toDeadline(body.remaining_ms(), now);
        call.ticket = *ticket;
        return message;
    }

    std::optional<peer_message> unpack(const frames::order_outcome& body, time_point now)
    {
        const auto kind = failureKindNamed(unpackText(body.failure()));
        if (!kind || body.kind() > static_cast<std::uint8_t>(reply_kind::Unknown))
            return std::nullopt;
        order_outcome message { { body.request() }, {} };
        auto& reply = message.reply;
        reply.kind = static_cast<reply_kind>(body.kind());
        if (*kind != failure_kind::None)
            reply.problem = failure { *kind, unpackText(body.failure_place()), unpackText(body.failure_found()),
                unpackText(body.failure_allowed()) };
        reply.status = { body.status() };
        reply.contentType = unpackText(body.content_type());
        reply.body = unpackBytes(body.body());
        reply.ticket = parseOrderTicket(unpackText(body.ticket()));
        reply.retryAt = toDeadline(body.retry_after_ms(), now);
        return message;
    }

    /// The verifier checks the bounds of a vector of structs, but not its alignment. The builder does not align an
    /// empty vector.
    template <typename Row> bool isAligned(const flatbuffers::Vector<const Row*>* rows)
    {
        return !rows || rows->size() == 0 || reinterpret_cast<std::uintptr_t>(rows->Data()) % alignof(Row) == 0;
    }

    std::optional<peer_message> unpack(const frames::slot_report& body, time_point)
    {
        if (!isAligned(body.accounts()) || !isAligned(body.endpoints()))
            return std::nullopt;
        slot_report message { { body.pool() }, { body.document() }, {}, {} };
        if (body.accounts()) {
            for (const auto* row : *body.accounts()) {
                if (!serviceRange.contains(row->served()))
                    return std::nullopt;
                message.accounts.push_back({ { row->account() }, row->waiting(), row->running(), { row->served() } });
            }
        }
        if (body.endpoints()) {
            for (const auto* row : *body.endpoints())
                message.endpoints.push_back({ { row->endpoint() }, { row->leased() }, { row->running() } });
        }
        return message;
    }

    std::optional<peer_message> unpack(const frames::slot_grant& body, time_point)
    {
        if (!isAligned(body.accounts()) || !isAligned(body.endpoints())
            || !remainingRange.contains(body.remaining_ms()))
            return std::nullopt;
        slot_grant message { { body.pool() }, { body.document() }, body.sequence(),
            std::chrono::milliseconds(body.remaining_ms()), {}, {} };
        if (body.accounts()) {
            for (const auto* row : *body.accounts()) {
                if (!serviceRange.contains(row->lead()))
                    return std::nullopt;
                message.accounts.push_back({ { row->account() }, row->quota(), { row->lead() } });
            }
        }
        if (body.endpoints()) {
            for (const auto* row : *body.endpoints()) {
                if (!callRange.contains(row->leased()))
                    return std::nullopt;
                message.endpoints.push_back({ { row->endpoint() }, { static_cast<std::int32_t>(row->leased()) } });
            }
        }
        return message;
    }

    std::optional<peer_message> unpack(const frames::fleet_beat& body, time_point)
    {
        if (!isAligned(body.endpoints()) || !isAligned(body.accounts()) || !isAligned(body.leaving()))
            return std::nullopt;
        fleet_heartbeat message { .from = { unpackText(body.from()) },
            .incarnation = { body.life() },
            .domain = { unpackText(body.domain()) },
            .address = unpackText(body.address()),
            .sequence = body.sequence(),
            .routes = { body.routes() },
            .isLeaving = body.is_leaving() };
        if (body.known()) {
            for (const auto* row : *body.known())
                message.knownRouters.push_back({ { unpackText(row->id()) }, unpackText(row->address()) });
        }
        if (body.endpoints()) {
            for (const auto* row : *body.endpoints()) {
                if (!tokenRange.contains(row->to_read()))
                    return std::nullopt;
                message.endpoints.push_back({ { row->endpoint() }, row->running(), { row->to_read() }, row->rate() });
            }
        }
        if (body.accounts()) {
            for (const auto* row : *body.accounts())
                message.accounts.push_back(
                    { { row->account() }, { row->asked_per_second() }, { row->admitted_per_second() } });
        }
        if (body.leaving()) {
            for (const auto* row : *body.leaving())
                message.leavingEndpoints.push_back({ { row->endpoint() }, row->incarnation() });
        }
        return message;
    }

    /// A frame may name the type of a body and leave the body out.
    template <typename Body> std::optional<peer_message> unpackIfPresent(const Body* body, time_point now)
    {
        return body ? unpack(*body, now) : std::nullopt;
    }

    std::optional<peer_message> unpackBody(const frames::frame& frame, time_point now)
    {
        switch (frame.body_type()) {
        case frames::body::greeting:
            return unpackIfPresent(frame.body_as_greeting(), now);
        case frames::body::heartbeat:
            return unpackIfPresent(frame.body_as_heartbeat(), now);
        case frames::body::document_request:
            return unpackIfPresent(frame.body_as_document_request(), now);
        case frames::body::document_offer:
            return unpackIfPresent(frame.body_as_document_offer(), now);
        case frames::body::order_forward:
            return unpackIfPresent(frame.body_as_order_forward(), now);
        case frames::body::order_outcome:
            return unpackIfPresent(frame.body_as_order_outcome(), now);
        case frames::body::slot_report:
            return unpackIfPresent(frame.body_as_slot_report(), now);
        case frames::body::slot_grant:
            return unpackIfPresent(frame.body_as_slot_grant(), now);
        case frames::body::fleet_beat:
            return unpackIfPresent(frame.body_as_fleet_beat(), now);
        case frames::body::NONE:
            break;
        }
        return std::nullopt;
    }

} // namespace

std::string encodeFrame(const peer_message& message, time_point now)
{
    builder out;
    const auto packed = std::visit([&](const auto& body) { return pack(out, body, now); }, message);
    out.Finish(frames::Createframe(out, packed.tag, packed.body));
    const auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(out.GetSize()));
    std::string bytes(reinterpret_cast<const char*>(&length), sizeof length);
    bytes.append(reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize());
    return bytes;
}

absl::StatusOr<std::size_t> decodeFrameLength(std::string_view bytes)
{
    KUMQUATBEAM_INVARIANT(bytes.size() == frameLengthSize);
    const auto length = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
    if (length == 0)
        return toStatus({ failure_kind::MalformedFrame, "length", "0" });
    if (length > frameLimit)
        return toStatus({ failure_kind::FrameTooLarge, "length", std::to_string(length),
            "at most " + std::to_string(frameLimit) + " bytes" });
    return length;
}

absl::StatusOr<peer_message> decodeFrame(const std::string& bytes, const arrival_bounds& arrival)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!frames::VerifyframeBuffer(verifier))
        return toStatus({ failure_kind::MalformedFrame, "frame" });
    auto message = unpackBody(*frames::Getframe(bytes.data()), arrival.earliest);
    if (!message)
        return toStatus({ failure_kind::MalformedFrame, "body" });
    if (auto* forward = std::get_if<order_forward>(&*message); forward && forward->call.deadline) {
        forward->call.sendBefore = *forward->call.deadline;
        *forward->call.deadline += arrival.latest - arrival.earliest;
    }
    return *std::move(message);
}

} // namespace kumquatbeam
