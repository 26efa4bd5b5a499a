#include "kumquatbeam/codec/event_framer.hpp"

#include "kumquatbeam/types/number_text.hpp"

#include <limits>

namespace kumquatbeam {

namespace {

    /// Offset just after the blank line that ends the event at `from`; npos if the event is incomplete.
    std::size_t endOfEvent(std::string_view text, std::size_t from)
    {
        std::size_t line = from;
        while (true) {
            const auto end = text.find('\n', line);
            if (end == std::string_view::npos)
                return std::string_view::npos;
            const auto length = end - line;
            const bool isBlank = length == 0 || (length == 1 && text[line] == '\r');
            if (isBlank)
                return end + 1;
            line = end + 1;
        }
    }

    /// The event's `id` field, if it has one that is a number.
    std::optional<event_number> numberOf(std::string_view event)
    {
        constexpr std::string_view field = "id:";
        std::size_t line = 0;
        while (line < event.size()) {
            const auto end = event.find('\n', line);
            auto text = event.substr(line, end - line);
            line = end + 1;
            if (!text.starts_with(field))
                continue;
            text.remove_prefix(field.size());
            while (text.starts_with(' '))
                text.remove_prefix(1);
            if (text.ends_with('\r'))
                text.remove_suffix(1);
            if (const auto number
                = parseWholeNumber<std::uint64_t>(text, { 0, std::numeric_limits<std::uint64_t>::max() }))
                return event_number { *number };
        }
        return std::nullopt;
    }

} // namespace

std::string event_framer::takeCompleteEvents()
{
    std::string events;
    std::size_t begin = 0;
    while (true) {
        const auto end = endOfEvent(m_buffer, begin);
        if (end == std::string::npos)
            break;
        const auto event = std::string_view(m_buffer).substr(begin, end - begin);
        const auto number = numberOf(event);
        if (!number || !m_last || *number > *m_last)
            events.append(event);
        if (number && (!m_last || *number > *m_last))
            m_last = number;
        begin = end;
    }
    m_buffer.erase(0, begin);
    return events;
}

} // namespace kumquatbeam
