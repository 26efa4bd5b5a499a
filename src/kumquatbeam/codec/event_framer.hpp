#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Cuts the bytes of an event stream (`text/event-stream`) into whole events, and leaves out those that the caller has.
class event_framer {
public:
    /// Events up to `after` are left out.
    explicit event_framer(std::optional<event_number> after)
        : m_last(after)
    {
    }

    /// Takes in the next bytes of the stream.
    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /// Takes out every event that is whole by now and that the caller does not have.
    std::string takeCompleteEvents();

    /// The last event that was taken out, or the one to start after.
    std::optional<event_number> last() const { return m_last; }

    /// Whether an event has begun that is not whole yet.
    bool hasPartialEvent() const { return !m_buffer.empty(); }

    /// Bytes of the event that is not whole yet.
    std::size_t partialEventSize() const { return m_buffer.size(); }

private:
    std::optional<event_number> m_last;
    std::string m_buffer;
};

} // namespace kumquatbeam
