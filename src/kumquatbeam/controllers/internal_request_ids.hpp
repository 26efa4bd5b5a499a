#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <cstdint>

namespace kumquatbeam {

/// Ids of requests that no caller of this router made: orders and what peers forward. They have the highest bit set,
/// which the callers duty's counter never reaches, so the two never collide.
class internal_request_ids {
public:
    request_id next() { return { ++m_last }; }

private:
    static constexpr std::uint64_t firstInternal = std::uint64_t { 1 } << 63U;

    std::uint64_t m_last = firstInternal;
};

} // namespace kumquatbeam
