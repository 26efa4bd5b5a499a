#include "kumquatbeam/decisions/admission/return_schedule.hpp"

#include <algorithm>

namespace kumquatbeam {

time_point return_schedule::timeFor(
    token_count cost, return_window window, double startedPerSecond, double spread, time_point now) const
{
    const auto slotTokens = startedPerSecond * returningFraction * std::chrono::duration<double>(slotLength).count();
    const auto end = numberOf(now) + static_cast<std::int64_t>(slotCount);
    const auto first = std::clamp(numberOf(window.earliest), numberOf(now), end - 1);
    const auto last = std::clamp(numberOf(window.latest), first, end - 1);
    auto best = first;
    for (auto number = first; number <= last; ++number) {
        const auto reserved = reservedAt(number);
        // A call that is larger than a slot may have an empty one.
        if (reserved == 0 || reserved + static_cast<double>(cost.value) <= slotTokens) {
            best = number;
            break;
        }
        if (reserved < reservedAt(best))
            best = number;
    }
    const auto start = time_point(std::chrono::duration_cast<clock::duration>(slotLength) * best);
    const auto within = std::chrono::duration_cast<clock::duration>(slotLength * std::clamp(spread, 0.0, 1.0));
    return std::clamp(start + within, window.earliest, std::max(window.earliest, window.latest));
}

void return_schedule::reserve(token_count cost, time_point returnAt)
{
    const auto number = numberOf(returnAt);
    auto& found = m_slots[static_cast<std::size_t>(number) % slotCount];
    if (found.number != number)
        found = { .number = number };
    found.reservedTokens += static_cast<double>(cost.value);
}

std::int64_t return_schedule::numberOf(time_point time)
{
    return time.time_since_epoch() / std::chrono::duration_cast<clock::duration>(slotLength);
}

double return_schedule::reservedAt(std::int64_t number) const
{
    const auto& found = m_slots[static_cast<std::size_t>(number) % slotCount];
    return found.number == number ? found.reservedTokens : 0;
}

} // namespace kumquatbeam
