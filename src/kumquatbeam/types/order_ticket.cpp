#include "kumquatbeam/types/order_ticket.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace kumquatbeam {

namespace {

    constexpr std::size_t maxTicketLength = 128;

    /// Removes the last dot-separated field from `text` and parses it as a hexadecimal number.
    std::optional<std::uint64_t> popLastNumber(std::string_view& text)
    {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const std::string digits(text.substr(dot + 1));
        std::uint64_t number = 0;
        if (!absl::SimpleHexAtoi(digits, &number))
            return std::nullopt;
        text = text.substr(0, dot);
        return number;
    }

} // namespace

std::string toText(const order_ticket& ticket)
{
    return absl::StrCat(ticket.owner.value, ".", absl::Hex(ticket.incarnation.value), ".", absl::Hex(ticket.sequence),
        ".", absl::Hex(ticket.nonce));
}

std::optional<order_ticket> parseOrderTicket(std::string_view text)
{
    if (text.size() > maxTicketLength)
        return std::nullopt;
    const auto nonce = popLastNumber(text);
    const auto sequence = nonce ? popLastNumber(text) : std::nullopt;
    const auto incarnation = sequence ? popLastNumber(text) : std::nullopt;
    if (!incarnation || text.empty())
        return std::nullopt;
    return order_ticket { entry_vm_id { std::string(text) }, incarnation_id { *incarnation }, *sequence, *nonce };
}

} // namespace kumquatbeam
