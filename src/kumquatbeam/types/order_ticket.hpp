#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Names one order for good: the router incarnation that holds it and a number in it that cannot be guessed.
struct order_ticket {
    entry_vm_id owner;
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t nonce = 0;

    friend bool operator==(const order_ticket&, const order_ticket&) = default;
    friend auto operator<=>(const order_ticket&, const order_ticket&) = default;
};

/// The text form that callers carry: `holder.life.sequence.nonce`, numbers in hexadecimal.
std::string toText(const order_ticket&);

/// Parses the text form, or returns nothing.
std::optional<order_ticket> parseOrderTicket(std::string_view text);

} // namespace kumquatbeam
