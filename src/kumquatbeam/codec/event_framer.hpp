#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Splits the bytes of an event stream (`text/event-stream`) into complete events and drops those that the caller
/// already has.
class event_framer {
public:
    /// Events with numbers up to `after` are dropped.
    explicit event_framer(std::optional<event_number> after)
        : m_last(after)
    {
    }

    /// Appends the next bytes of the stream.
    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /// Removes and returns all complete events, without those that the caller already has.
    std::string takeCompleteEvents();

    /// Number of the last event that was returned, or of the event to start after.
    std::optional<event_number> last() const { return m_last; }

    /// Whether the buffer holds an incomplete event.
    bool hasPartialEvent() const { return !m_buffer.empty(); }

    /// Size in bytes of the incomplete event.
    std::size_t partialEventSize() const { return m_buffer.size(); }

private:
    std::optional<event_number> m_last;
    std::string m_buffer;
};

} // namespace kumquatbeam
