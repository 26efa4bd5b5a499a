#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Unique identifier of an order: the router incarnation that owns it, a sequence number and a nonce that cannot be
/// guessed.
struct order_ticket {
    entry_vm_id owner;
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t nonce = 0;

    friend bool operator==(const order_ticket&, const order_ticket&) = default;
    friend auto operator<=>(const order_ticket&, const order_ticket&) = default;
};

/// The text form that callers use: `owner.incarnation.sequence.nonce`, numbers in hexadecimal.
std::string toText(const order_ticket&);

/// Parses the text form; returns `std::nullopt` if it is malformed.
std::optional<order_ticket> parseOrderTicket(std::string_view text);

} // namespace kumquatbeam
