#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// Divides the requests that a cold endpoint may get among the routers, without messages between them. One object per
/// pool.
///
/// Rendezvous hashing over the routers that may exist assigns a few owners to each endpoint. Only they send to it while
/// it is cold, each at most an equal share of the limit. Routers that know different sets of routers may choose
/// different owners, so the shares together stay below the limit.
class cold_allowance {
public:
    /// Most owners of an endpoint. With fewer, an owner that has no requests leaves more of the limit unused; with
    /// more, each share is too small.
    static constexpr std::size_t ownerLimit = 6;

    /// Part of the limit that the owners' shares add up to. The rest covers owners that only some routers know of.
    static constexpr double dividedFraction = 0.8;

    /// Time in which an owner sends at most its share. Longer than the second that the limit holds for, because
    /// requests take different times from the decision to the endpoint.
    static constexpr std::chrono::milliseconds window { 1250 };

    explicit cold_allowance(const entry_vm_id& self);

    /// Sets how many requests a cold endpoint may get in any second from all routers together.
    void setLimit(double requestsPerSecond);

    /// Sets the routers that may exist, with or without this one.
    void setRouters(const std::vector<entry_vm_id>&);

    /// How many requests this router may send to the endpoint in any window while it is cold; zero unless it is an
    /// owner.
    std::size_t shareOf(wire_key endpoint) const;

    /// Whether this router may send a request to the endpoint now, if it is cold.
    bool admits(wire_key endpoint, time_point now) const;

    /// Records that a request is sent. Requests to warm endpoints count too, since an endpoint may become cold at any
    /// moment.
    void recordSent(wire_key endpoint, time_point now);

private:
    std::uint64_t rankOf(wire_key endpoint, wire_key router) const;
    std::size_t ownerCount() const;

    wire_key m_self;
    /// Requests in a window that the owners of an endpoint divide among them.
    std::size_t m_divided = 0;
    std::vector<wire_key> m_others;
    /// Times of the requests sent in the last window, the oldest first and at most `m_divided` for each endpoint.
    std::unordered_map<wire_key, std::vector<time_point>> m_sent;
    /// Computed shares, valid until the routers or the limit change.
    mutable std::unordered_map<wire_key, std::size_t> m_shares;
};

} // namespace kumquatbeam
