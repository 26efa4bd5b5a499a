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

/// Time from its issue in which a ticket may place its order.
inline constexpr std::chrono::seconds ticketLifetime { 300 };

/// Time after its end that an order's reply is kept, or until the ticket's deadline if that is later, unless its own
/// account's newer orders need the room.
inline constexpr std::chrono::seconds replyRetention { 60 };

/// What an order book may hold.
struct order_registry_limits {
    /// Orders of all accounts together, in any state.
    std::size_t orders = 100'000;
    /// Requests that may wait for the reply of one order.
    std::size_t waiters = 8;
    /// Stored replies of one account.
    byte_count accountReplyBytes { 4 * 1024 * 1024 };
    /// Stored replies of all accounts together.
    byte_count replyBytes { 64 * 1024 * 1024 };
};

/// How far an order has come. It only moves on, and never leaves `Ended`.
enum class order_state {
    /// The ticket is out; nothing has been placed under it.
    Issued,
    /// The order waits for an endpoint or runs there.
    InProgress,
    /// The order has its reply, and will not run any more.
    Ended,
};

/// Tells the calls apart that one ticket is used for.
using order_fingerprint = strong_value<struct order_fingerprint_tag, std::uint64_t>;

/// The fingerprint of what a call asks an endpoint to do.
order_fingerprint fingerprintOf(const call_request&);

/// One order of the book.
struct order_record {
    order_ticket ticket;
    client_account_id account;
    /// Until when the ticket may place its order.
    time_point placeBefore = never;
    order_state state = order_state::Issued;
    /// When the record is forgotten; never while the order is in progress.
    time_point expiresAt = never;
    order_fingerprint fingerprint {};
    std::vector<request_id> waiters {};
    call_reply reply {};
};

/// The orders that one router incarnation holds. A ticket is good for one order, which begins at most once; a ticket
/// that the book no longer knows begins nothing.
class order_registry {
public:
    order_registry(entry_vm_id owner, incarnation_id incarnation, order_registry_limits limits = {});

    const entry_vm_id& owner() const { return m_owner; }

    /// Whether this incarnation issued the ticket, or claims to have.
    bool isOwnerOf(const order_ticket&) const;

    /// Whether the account may have one more ticket, given its limit. An ended order makes room for a new one.
    bool canIssue(const client_account_id&, std::int64_t ticketLimit) const;

    /// Whether one more request may wait for the order.
    bool canAddWaiter(const order_record& record) const { return record.waiters.size() < m_limits.waiters; }

    /// Issues a ticket; the account must have room for it.
    order_ticket issue(const client_account_id&, std::int64_t ticketLimit, std::uint64_t nonce, time_point now);

    /// The order of a ticket, or null when the ticket is unknown here or past its deadline.
    const order_record* find(const order_ticket&, time_point now) const;

    /// Begins an issued order.
    void start(const order_ticket&, order_fingerprint);

    /// Adds a request that waits for the order in progress.
    void addWaiter(const order_ticket&, request_id);

    /// Takes a waiting request away from its order.
    void removeWaiter(const order_ticket&, request_id);

    /// Stores the reply of an order in progress and hands out the requests that wait for it.
    std::vector<request_id> complete(const order_ticket&, const call_reply&, time_point now);

    /// Ends the account's issued order before it has begun. True when the order is now proved never to run, also when
    /// it had been before.
    bool cancel(const order_ticket&, const client_account_id&, order_fingerprint, const call_reply&, time_point now);

    /// The earliest time at which `expire` forgets something.
    time_point nextDeadline() const;

    /// Forgets the orders whose time has passed.
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
