#pragma once

#include "kumquatbeam/types/request_context.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquatbeam {

/// The waiting requests of one account in one pool, the most urgent first and in order of arrival within a class.
class account_queue {
public:
    void push(request_context);

    /// Puts a request that has had its turn before all others of its class.
    void pushFront(request_context);

    /// Takes the request whose turn it is, or nothing.
    std::optional<request_context> pop();

    /// Takes one request out, or nothing when it does not wait here.
    std::optional<request_context> remove(request_id);

    /// Takes out the requests whose deadline has passed.
    std::vector<request_context> removeExpired(time_point now);

    /// The earliest deadline of a waiting request.
    time_point nextDeadline() const;

    std::size_t size() const;

    /// Requests that go before a new one of this urgency.
    std::size_t countAhead(urgency) const;

private:
    std::array<std::deque<request_context>, urgencyCount> m_classes;
};

} // namespace kumquatbeam
