#pragma once

#include "kumquatbeam/decisions/held_memory.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <optional>

namespace kumquatbeam {

/// Counts the bytes of incomplete answers that a router holds, over all attempts.
class answer_memory {
public:
    /// All answers together may hold `limit`.
    explicit answer_memory(byte_count limit);

    /// Records what the answer to a call holds now. Returns the call whose answer must be given up if all of them hold
    /// too much: the one that holds the most, so that an endless answer goes before the small ones beside it.
    std::optional<request_id> record(request_id, byte_count held);

    /// Forgets the answer to a call.
    void release(request_id);

    byte_count held() const { return m_memory.held(); }

private:
    held_memory<request_id> m_memory;
};

} // namespace kumquatbeam
