#pragma once

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Every way in which a part of the system can fail. `failure_table` in the source file gives each its code and text.
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
    EndpointMisanswered,
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
};

/// One failure: its kind, where it happened and what would have been allowed there.
struct failure {
    failure_kind kind = failure_kind::None;
    /// The thing at fault: a header, a section and key, an address.
    std::string place {};
    /// The value found there, empty where there is none to show.
    std::string found {};
    /// The range or form that is allowed there, empty where the kind says it all.
    std::string allowed {};

    friend bool operator==(const failure&, const failure&) = default;
};

/// The fixed name of a kind, as it stands in logs and on the wire.
std::string_view nameOf(failure_kind);

/// The kind with this name, or nothing.
std::optional<failure_kind> failureKindNamed(std::string_view name);

/// One sentence for people: kind, place, value found and range allowed.
std::string describe(const failure&);

/// A status that carries the failure as a typed payload.
absl::Status toStatus(const failure&);

/// The failure that `toStatus` put into a status, or nothing for a status from elsewhere.
std::optional<failure> failureOf(const absl::Status&);

} // namespace kumquatbeam
