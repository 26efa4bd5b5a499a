#pragma once

#include "kumquatbeam/types/request_context.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquatbeam {

/// The waiting requests of one account in one pool, ordered by urgency class, then by arrival.
class account_queue {
public:
    void push(request_context);

    /// Returns an already dispatched request to the head of its urgency class.
    void pushFront(request_context);

    /// Removes the first request of the most urgent class; nothing when the queue is empty.
    std::optional<request_context> pop();

    /// Removes one request; nothing when it is not in the queue.
    std::optional<request_context> remove(request_id);

    /// Removes the requests that may no longer start, or whose answers would take `serviceTime` beyond their deadlines.
    std::vector<request_context> removeExpired(time_point now, clock::duration serviceTime = {});

    /// The earliest time at which `removeExpired` removes a waiting request.
    time_point nextDeadline(clock::duration serviceTime = {}) const;

    std::size_t size() const;

    /// Requests that are served before a new one of this urgency.
    std::size_t countAhead(urgency) const;

private:
    std::array<std::deque<request_context>, urgencyCount> m_classes;
};

} // namespace kumquatbeam
