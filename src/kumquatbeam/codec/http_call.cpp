#include "kumquatbeam/codec/http_call.hpp"

#include "kumquatbeam/codec/http_names.hpp"
#include "kumquatbeam/types/failure.hpp"
#include "kumquatbeam/types/number_text.hpp"

#include <boost/beast/http/empty_body.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace kumquatbeam {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view callPrefix = "/v1/call/";
    constexpr std::string_view ticketPrefix = "/v1/tickets/";
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::int64_t maxDeadlineMs = 3'600'000;

    struct urgency_row {
        std::string_view name;
        urgency value;
    };

    constexpr auto urgencyTable = std::to_array<urgency_row>({
        { "low", urgency::Low },
        { "normal", urgency::Normal },
        { "high", urgency::High },
    });

    /// HTTP status for a kind of failure; kinds that are not listed map to 503.
    struct status_row {
        failure_kind kind;
        http::status status;
    };

    constexpr auto statusTable = std::to_array<status_row>({
        { failure_kind::MalformedRequest, http::status::bad_request },
        { failure_kind::RequestTooLarge, http::status::payload_too_large },
        { failure_kind::UnknownAccount, http::status::unauthorized },
        { failure_kind::UnknownPool, http::status::not_found },
        { failure_kind::QueueFull, http::status::too_many_requests },
        { failure_kind::TicketsExhausted, http::status::too_many_requests },
        { failure_kind::DeadlinePassed, http::status::gateway_timeout },
        { failure_kind::EndpointTimedOut, http::status::gateway_timeout },
        { failure_kind::EndpointBroke, http::status::bad_gateway },
        { failure_kind::TicketRequired, http::status::precondition_required },
        { failure_kind::TicketUnknown, http::status::gone },
        { failure_kind::TicketOfAnotherAccount, http::status::forbidden },
        { failure_kind::TicketReused, http::status::unprocessable_entity },
        { failure_kind::OrderInProgress, http::status::conflict },
    });

    std::string_view toStd(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    absl::Status malformed(std::string place, std::string_view found, std::string allowed)
    {
        return toStatus({ failure_kind::MalformedRequest, std::move(place), std::string(found), std::move(allowed) });
    }

    absl::Status decodePath(std::string_view path, call_request& call)
    {
        call.isTicketRequest = path.starts_with(ticketPrefix);
        if (!call.isTicketRequest && !path.starts_with(callPrefix))
            return malformed("path", path, "/v1/call/POOL/TARGET or /v1/tickets/POOL");
        const auto rest = path.substr(call.isTicketRequest ? ticketPrefix.size() : callPrefix.size());
        const auto slash = rest.find('/');
        call.pool = pool_id { std::string(rest.substr(0, slash)) };
        call.target = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
        return absl::OkStatus();
    }

    absl::Status decodeMethod(http::verb method, call_request& call)
    {
        if (method != http::verb::get && method != http::verb::post)
            return malformed("method", toStd(http::to_string(method)), "GET or POST");
        if (call.isTicketRequest && method != http::verb::post)
            return malformed("method", toStd(http::to_string(method)), "POST for a ticket");
        call.effect = method == http::verb::get ? call_effect::Read : call_effect::Write;
        return absl::OkStatus();
    }

    absl::Status decodeDeadline(std::string_view text, const arrival_bounds& arrival, call_request& call)
    {
        if (text.empty())
            return absl::OkStatus();
        const auto remaining = parseWholeNumber<std::int64_t>(text, { 0, maxDeadlineMs });
        if (!remaining)
            return malformed(deadlineField, text, "0 to 3600000 ms");
        call.deadline = arrival.latest + std::chrono::milliseconds(*remaining);
        call.sendBefore = arrival.earliest + std::chrono::milliseconds(*remaining);
        return absl::OkStatus();
    }

    absl::Status decodeUrgency(std::string_view text, call_request& call)
    {
        if (text.empty())
            return absl::OkStatus();
        const auto row = std::find_if(urgencyTable.begin(), urgencyTable.end(),
            [text](const urgency_row& candidate) { return candidate.name == text; });
        if (row == urgencyTable.end())
            return malformed(urgencyField, text, "low, normal or high");
        call.urgencyClass = row->value;
        return absl::OkStatus();
    }

    absl::Status decodeTicket(std::string_view text, call_request& call)
    {
        if (text.empty())
            return absl::OkStatus();
        call.ticket = parseOrderTicket(text);
        if (!call.ticket)
            return malformed(ticketField, text, "a ticket that a router gave");
        return absl::OkStatus();
    }

    http::status statusOf(const call_reply& reply)
    {
        if (!reply.problem)
            return static_cast<http::status>(reply.status.value);
        const auto row = std::find_if(statusTable.begin(), statusTable.end(),
            [&](const status_row& candidate) { return candidate.kind == reply.problem->kind; });
        return row == statusTable.end() ? http::status::service_unavailable : row->status;
    }

} // namespace

absl::StatusOr<call_request> decodeCall(http_request&& request, const arrival_bounds& arrival)
{
    call_request call;
    const auto field = [&](const auto& name) { return toStd(request[name]); };
    const absl::Status steps[] = {
        decodePath(toStd(request.target()), call),
        decodeMethod(request.method(), call),
        decodeDeadline(field(deadlineField), arrival, call),
        decodeUrgency(field(urgencyField), call),
        decodeTicket(field(ticketField), call),
    };
    for (const auto& step : steps) {
        if (!step.ok())
            return step;
    }
    const auto authorization = field(http::field::authorization);
    if (authorization.starts_with(bearerPrefix))
        call.credential = std::string(authorization.substr(bearerPrefix.size()));
    call.contentType = std::string(field(http::field::content_type));
    call.affinity = std::string(field(affinityField));
    call.body = std::move(request.body());
    return call;
}

http_response encodeReply(const call_reply& reply, unsigned version, bool keepAlive, time_point now)
{
    http_response response(statusOf(reply), version);
    response.set(outcomeField, std::string(nameOf(reply.kind)));
    if (reply.problem) {
        response.set(failureField, std::string(nameOf(reply.problem->kind)));
        response.set(http::field::content_type, "text/plain");
        response.body() = describe(*reply.problem) + "\n";
    } else {
        response.set(http::field::content_type, reply.contentType);
        response.body() = reply.body;
    }
    if (reply.ticket)
        response.set(ticketField, toText(*reply.ticket));
    if (reply.retryAt) {
        const auto delay = std::chrono::ceil<std::chrono::seconds>(std::max(*reply.retryAt, now) - now);
        response.set(http::field::retry_after, std::to_string(delay.count()));
    }
    response.keep_alive(keepAlive);
    response.prepare_payload();
    return response;
}

http::response_header<> encodeAnswerHead(endpoint_status status, const std::string& contentType, unsigned version)
{
    http::response<http::empty_body> response(static_cast<http::status>(status.value), version);
    response.set(outcomeField, std::string(nameOf(reply_kind::Answered)));
    response.set(http::field::content_type, contentType);
    response.chunked(true);
    return response.base();
}

http_request encodeAttempt(
    const call_request& call, const std::string& host, const std::string& streamId, byte_count resumeAt)
{
    constexpr unsigned httpVersion = 11;
    http_request request(
        call.effect == call_effect::Read ? http::verb::get : http::verb::post, call.target, httpVersion);
    request.set(http::field::host, host);
    request.set(streamField, streamId);
    if (!call.contentType.empty())
        request.set(http::field::content_type, call.contentType);
    if (call.ticket)
        request.set(ticketField, toText(*call.ticket));
    if (resumeAt.value > 0)
        request.set(resumeAtField, std::to_string(resumeAt.value));
    request.keep_alive(false);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

} // namespace kumquatbeam
