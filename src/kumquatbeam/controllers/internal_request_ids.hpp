#pragma once

#include "kumquatbeam/types/ids.hpp"

#include <cstdint>

namespace kumquatbeam {

/// Generates ids of requests that were not made by callers of this router: orders and requests forwarded by peers.
/// These ids have the highest bit set, which the counter of the callers duty never reaches, so the two do not collide.
class internal_request_ids {
public:
    request_id next() { return { ++m_last }; }

private:
    static constexpr std::uint64_t firstInternal = std::uint64_t { 1 } << 63U;

    std::uint64_t m_last = firstInternal;
};

} // namespace kumquatbeam
