#pragma once

#include "kumquatbeam/types/call.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/order_ticket.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// Time after its issue during which a ticket can be used to place an order.
inline constexpr std::chrono::seconds ticketLifetime { 300 };

/// Time for which an order's reply is kept after the order has ended, or until the ticket's deadline if that is later.
/// The reply is evicted earlier when its own account's newer orders need the space, or when the replies of all accounts
/// exceed their limit and its account stores the most.
inline constexpr std::chrono::seconds replyRetention { 60 };

/// Limits of an order registry.
struct order_registry_limits {
    /// Orders of all accounts, in any state.
    std::size_t orders = 100'000;
    /// Requests that wait for the reply of one order.
    std::size_t waiters = 8;
    /// Bytes of the stored replies of one account.
    byte_count accountReplyBytes { 4 * 1024 * 1024 };
    /// Bytes of the stored replies of all accounts.
    byte_count replyBytes { 64 * 1024 * 1024 };
};

/// The state of an order. It only advances, and `Ended` is final.
enum class order_state {
    /// The ticket was issued, and no order has been placed with it.
    Issued,
    /// The order waits for an endpoint or runs at one.
    InProgress,
    /// The order has its reply and will not run again.
    Ended,
};

/// A hash that detects the use of one ticket for different calls.
using order_fingerprint = strong_value<struct order_fingerprint_tag, std::uint64_t>;

/// The fingerprint of a call's pool, target, content type and body.
order_fingerprint fingerprintOf(const call_request&);

/// One order of the registry.
struct order_record {
    order_ticket ticket;
    client_account_id account;
    /// Until when the ticket can be used to place its order.
    time_point placeBefore = never;
    order_state state = order_state::Issued;
    /// When the record is removed; never while the order is in progress.
    time_point expiresAt = never;
    order_fingerprint fingerprint {};
    std::vector<request_id> waiters {};
    call_reply reply {};
};

/// The orders owned by one router incarnation. A ticket is valid for one order, which starts at most once; a ticket
/// that the registry no longer contains cannot start an order.
class order_registry {
public:
    order_registry(entry_vm_id owner, incarnation_id incarnation, order_registry_limits limits = {});

    const entry_vm_id& owner() const { return m_owner; }

    /// Whether the ticket names this incarnation as its owner. The ticket may still be forged.
    bool isOwnerOf(const order_ticket&) const;

    /// Whether the account may have one more ticket, given its limit. An ended order can be evicted for a new one.
    bool canIssue(const client_account_id&, std::int64_t ticketLimit) const;

    /// Whether one more request may wait for the order.
    bool canAddWaiter(const order_record& record) const { return record.waiters.size() < m_limits.waiters; }

    /// Issues a ticket. Requires `canIssue`.
    order_ticket issue(const client_account_id&, std::int64_t ticketLimit, std::uint64_t nonce, time_point now);

    /// The order of a ticket, or null when the ticket is unknown or its record has expired.
    const order_record* find(const order_ticket&, time_point now) const;

    /// Starts an issued order.
    void start(const order_ticket&, order_fingerprint);

    /// Adds a request that waits for the order in progress.
    void addWaiter(const order_ticket&, request_id);

    /// Removes a waiting request from its order.
    void removeWaiter(const order_ticket&, request_id);

    /// Stores the reply of an order in progress and returns the requests that wait for it.
    std::vector<request_id> complete(const order_ticket&, const call_reply&, time_point now);

    /// Cancels the account's issued order before it starts. True when the order is certain never to run, including when
    /// it had already ended without running.
    bool cancel(const order_ticket&, const client_account_id&, order_fingerprint, const call_reply&, time_point now);

    /// The earliest time at which `expire` removes an order.
    time_point nextDeadline() const;

    /// Removes expired orders.
    void expire(time_point now);

    std::size_t size() const { return m_orders.size(); }
    byte_count storedBytes() const { return m_storedBytes; }

private:
    using order_number = std::uint64_t;
    using order_by_time = std::set<std::pair<time_point, order_number>>;

    struct account_orders {
        std::size_t count = 0;
        byte_count storedBytes {};
        order_by_time ended;
    };

    order_record& at(const order_ticket&);
    void setExpiry(order_record&, time_point);
    void store(order_record&, const call_reply&, time_point now);
    void evictReplies(const client_account_id&);
    void evictOldestEnded(const client_account_id&);
    void eraseOrder(order_number);
    client_account_id accountWithMostStored() const;

    entry_vm_id m_owner;
    incarnation_id m_incarnation;
    order_registry_limits m_limits;
    order_number m_lastNumber = 0;
    std::unordered_map<order_number, order_record> m_orders;
    std::map<client_account_id, account_orders> m_accounts;
    order_by_time m_expiries;
    byte_count m_storedBytes {};
};

} // namespace kumquatbeam
