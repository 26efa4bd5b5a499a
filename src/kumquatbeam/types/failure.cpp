#include "kumquatbeam/types/failure.hpp"

#include "kumquatbeam/types/invariant.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    /// Name and message of a failure kind, and the status code that embedding programs see.
    struct failure_row {
        failure_kind kind;
        absl::StatusCode code;
        std::string_view name;
        std::string_view message;
    };

    using enum failure_kind;
    using absl::StatusCode;

    constexpr auto failureTable = std::to_array<failure_row>({
        { None, StatusCode::kOk, "none", "no failure" },
        { MalformedRequest, StatusCode::kInvalidArgument, "malformed-request", "the request is malformed" },
        { RequestTooLarge, StatusCode::kInvalidArgument, "request-too-large", "the request is too large" },
        { HeaderTooLarge, StatusCode::kInvalidArgument, "header-too-large", "the request's header is too large" },
        { UnknownAccount, StatusCode::kUnauthenticated, "unknown-account", "the credential names no client account" },
        { UnknownPool, StatusCode::kNotFound, "unknown-pool", "the path names no pool" },
        { UnknownRoute, StatusCode::kNotFound, "unknown-route", "no route matches the request" },
        { Draining, StatusCode::kUnavailable, "draining", "the router is shutting down" },
        { NotReady, StatusCode::kUnavailable, "not-ready", "the router has no accepted configuration yet" },
        { QueueFull, StatusCode::kResourceExhausted, "queue-full", "the account's queue is full" },
        { PoolBusy, StatusCode::kResourceExhausted, "pool-busy", "every endpoint of the pool has too long a queue" },
        { OverShare, StatusCode::kResourceExhausted, "over-share",
            "the account has used its share of a pool that is busy" },
        { NoEndpoint, StatusCode::kUnavailable, "no-endpoint", "no endpoint of the pool can be used" },
        { KeysStale, StatusCode::kUnavailable, "keys-stale", "the account keys have not been confirmed lately" },
        { RingFull, StatusCode::kResourceExhausted, "ring-full", "the router is overloaded" },
        { MemoryShort, StatusCode::kResourceExhausted, "memory-short",
            "the requests that the router holds take too much memory" },
        { ConnectionsExhausted, StatusCode::kResourceExhausted, "connections-exhausted",
            "the router has too many connections of callers" },
        { DeadlinePassed, StatusCode::kDeadlineExceeded, "deadline-passed", "the deadline passed" },
        { TicketRequired, StatusCode::kFailedPrecondition, "ticket-required", "this call needs an order ticket" },
        { TicketUnknown, StatusCode::kNotFound, "ticket-unknown", "the order ticket has ended or never was" },
        { TicketOfAnotherAccount, StatusCode::kPermissionDenied, "ticket-of-another-account",
            "the order ticket belongs to another account" },
        { TicketReused, StatusCode::kInvalidArgument, "ticket-reused",
            "the order ticket already carries another order" },
        { TicketsExhausted, StatusCode::kResourceExhausted, "tickets-exhausted",
            "the account holds too many order tickets" },
        { OrderInProgress, StatusCode::kAborted, "order-in-progress", "the order is still in progress" },
        { OwnerUnreachable, StatusCode::kUnavailable, "owner-unreachable",
            "the router that holds the order cannot be reached" },
        { CallerGone, StatusCode::kCancelled, "caller-gone", "the caller left" },
        { EndpointUnreachable, StatusCode::kUnavailable, "endpoint-unreachable", "the endpoint cannot be reached" },
        { EndpointBroke, StatusCode::kDataLoss, "endpoint-broke", "the endpoint broke off its answer" },
        { EndpointRefused, StatusCode::kUnavailable, "endpoint-refused", "the endpoint refused the call" },
        { EndpointReplaced, StatusCode::kUnavailable, "endpoint-replaced",
            "another endpoint has taken over the address" },
        { AnswerMismatched, StatusCode::kDataLoss, "endpoint-misanswered", "the answer does not belong to the call" },
        { EndpointTimedOut, StatusCode::kDeadlineExceeded, "endpoint-timed-out",
            "the endpoint did not answer in time" },
        { AnswerTooLarge, StatusCode::kOutOfRange, "answer-too-large", "the endpoint's answer is too large to keep" },
        { RetriesExhausted, StatusCode::kUnavailable, "retries-exhausted", "no retry is left" },
        { FileUnreadable, StatusCode::kNotFound, "file-unreadable", "the file cannot be read" },
        { SyntaxError, StatusCode::kInvalidArgument, "syntax-error", "the text is not well-formed" },
        { UnknownSection, StatusCode::kInvalidArgument, "unknown-section", "there is no such section" },
        { UnknownSetting, StatusCode::kInvalidArgument, "unknown-setting", "there is no such setting" },
        { MissingSetting, StatusCode::kInvalidArgument, "missing-setting", "a required setting is missing" },
        { MalformedValue, StatusCode::kInvalidArgument, "malformed-value", "the value cannot be parsed" },
        { ValueOutOfRange, StatusCode::kOutOfRange, "value-out-of-range", "the value is out of range" },
        { UnknownReference, StatusCode::kInvalidArgument, "unknown-reference",
            "the value names something that is not defined" },
        { DuplicateName, StatusCode::kAlreadyExists, "duplicate-name", "the name is taken" },
        { StaleRevision, StatusCode::kFailedPrecondition, "stale-revision",
            "the revision is older than the one in force" },
        { NotSectionOwner, StatusCode::kPermissionDenied, "not-section-owner", "the section belongs to another team" },
        { MalformedFrame, StatusCode::kInvalidArgument, "malformed-frame", "the frame is malformed" },
        { FrameTooLarge, StatusCode::kOutOfRange, "frame-too-large", "the frame is too large" },
        { NotAMember, StatusCode::kPermissionDenied, "not-a-member", "the address belongs to no entry VM" },
        { AddressInUse, StatusCode::kUnavailable, "address-in-use", "the address cannot be listened on" },
        { PlatformUnreachable, StatusCode::kUnavailable, "platform-unreachable", "the platform cannot be reached" },
        { UnexpectedError, StatusCode::kInternal, "unexpected-error", "the router met an unexpected error" },
    });

    constexpr char payloadUrl[] = "kumquatbeam/failure";
    constexpr char fieldSeparator = '\x1f';

    const failure_row& rowOf(failure_kind kind)
    {
        const auto row = std::find_if(failureTable.begin(), failureTable.end(),
            [kind](const failure_row& candidate) { return candidate.kind == kind; });
        KUMQUATBEAM_INVARIANT(row != failureTable.end());
        return *row;
    }

    std::string popField(std::string_view& remaining)
    {
        const auto end = remaining.find(fieldSeparator);
        std::string field(remaining.substr(0, end));
        remaining = end == std::string_view::npos ? std::string_view {} : remaining.substr(end + 1);
        return field;
    }

} // namespace

std::string_view nameOf(failure_kind kind)
{
    return rowOf(kind).name;
}

std::optional<failure_kind> failureKindNamed(std::string_view name)
{
    const auto row = std::find_if(failureTable.begin(), failureTable.end(),
        [name](const failure_row& candidate) { return candidate.name == name; });
    if (row == failureTable.end())
        return std::nullopt;
    return row->kind;
}

std::string describe(const failure& what)
{
    std::string text;
    if (!what.place.empty())
        text.append(what.place).append(": ");
    text.append(rowOf(what.kind).message);
    if (!what.found.empty())
        text.append(", found '").append(what.found).append("'");
    if (!what.allowed.empty())
        text.append(", allowed ").append(what.allowed);
    return text;
}

absl::Status toStatus(const failure& what)
{
    absl::Status status(rowOf(what.kind).code, describe(what));
    std::string payload(nameOf(what.kind));
    for (const auto* field : { &what.place, &what.found, &what.allowed })
        payload.append(1, fieldSeparator).append(*field);
    status.SetPayload(payloadUrl, absl::Cord(payload));
    return status;
}

std::optional<failure> failureOf(const absl::Status& status)
{
    const auto payload = status.GetPayload(payloadUrl);
    if (!payload)
        return std::nullopt;
    const std::string text(*payload);
    std::string_view remaining(text);
    const auto kind = failureKindNamed(popField(remaining));
    if (!kind)
        return std::nullopt;
    failure what { .kind = *kind };
    for (auto* field : { &what.place, &what.found, &what.allowed })
        *field = popField(remaining);
    return what;
}

} // namespace kumquatbeam
