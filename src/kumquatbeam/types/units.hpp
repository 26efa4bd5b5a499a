#pragma once

#include "kumquatbeam/types/strong_value.hpp"

#include <cstddef>
#include <cstdint>

namespace kumquatbeam {

/// Service that an account received: the time it held slots of a pool, in slot-microseconds.
using service_cost = strong_quantity<struct service_cost_tag, std::int64_t>;

/// Weight of a client account; service is divided in proportion to it. Unit: thousandths of one share.
using account_share = strong_quantity<struct account_share_tag, std::int64_t>;

/// Number of slots; a slot of an endpoint runs one call at a time.
using slot_count = strong_quantity<struct slot_count_tag, std::int32_t>;

/// Tokens of a language model, in a prompt or generated.
using token_count = strong_quantity<struct token_count_tag, std::int64_t>;

/// A size in bytes.
using byte_count = strong_quantity<struct byte_count_tag, std::uint64_t>;

} // namespace kumquatbeam
