#pragma once

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Kinds of failure. `failureTable` in the source file gives the status code, name and message of each.
enum class failure_kind {
    None,
    MalformedRequest,
    RequestTooLarge,
    HeaderTooLarge,
    UnknownAccount,
    UnknownPool,
    UnknownRoute,
    Draining,
    NotReady,
    QueueFull,
    PoolBusy,
    OverShare,
    NoEndpoint,
    KeysStale,
    RingFull,
    MemoryShort,
    ConnectionsExhausted,
    DeadlinePassed,
    TicketRequired,
    TicketUnknown,
    TicketOfAnotherAccount,
    TicketReused,
    TicketsExhausted,
    OrderInProgress,
    OwnerUnreachable,
    CallerGone,
    EndpointUnreachable,
    EndpointBroke,
    EndpointRefused,
    EndpointReplaced,
    AnswerMismatched,
    EndpointTimedOut,
    AnswerTooLarge,
    RetriesExhausted,
    FileUnreadable,
    SyntaxError,
    UnknownSection,
    UnknownSetting,
    MissingSetting,
    MalformedValue,
    ValueOutOfRange,
    UnknownReference,
    DuplicateName,
    StaleRevision,
    NotSectionOwner,
    MalformedFrame,
    FrameTooLarge,
    NotAMember,
    AddressInUse,
    PlatformUnreachable,
    UnexpectedError,
};

/// A failure: its kind, where it occurred, the value found and what is allowed there.
struct failure {
    failure_kind kind = failure_kind::None;
    /// Where it occurred: a header field, a section and key, or an address.
    std::string place {};
    /// The value found there; empty if there is none to show.
    std::string found {};
    /// The range or form that is allowed there; empty if the kind is sufficient.
    std::string allowed {};

    friend bool operator==(const failure&, const failure&) = default;
};

/// Stable name of a kind in logs and on the wire.
std::string_view nameOf(failure_kind);

/// The kind with this name, or `std::nullopt`.
std::optional<failure_kind> failureKindNamed(std::string_view name);

/// A human-readable message with the kind, place, value found and range allowed.
std::string describe(const failure&);

/// A status that carries the failure as a typed payload.
absl::Status toStatus(const failure&);

/// The failure that `toStatus` attached to a status, or `std::nullopt` for other statuses.
std::optional<failure> failureOf(const absl::Status&);

} // namespace kumquatbeam
