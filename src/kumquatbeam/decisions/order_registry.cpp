#include "kumquatbeam/decisions/order_registry.hpp"

#include "kumquatbeam/types/invariant.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace kumquatbeam {

namespace {

    /// Bytes charged for a stored reply in addition to its texts.
    constexpr std::size_t replyOverhead = sizeof(call_reply);

    byte_count sizeOf(const call_reply& reply)
    {
        std::size_t size = replyOverhead + reply.contentType.size() + reply.body.size();
        if (reply.problem)
            size += reply.problem->place.size() + reply.problem->found.size() + reply.problem->allowed.size();
        return { size };
    }

} // namespace

order_fingerprint fingerprintOf(const call_request& call)
{
    // The lengths come first, so that different calls always have different texts.
    const auto text = absl::StrCat(call.pool.value.size(), ":", call.target.size(), ":", call.contentType.size(), ":",
        call.pool.value, call.target, call.contentType, call.body);
    return { std::hash<std::string> {}(text) };
}

order_registry::order_registry(entry_vm_id owner, incarnation_id incarnation, order_registry_limits limits)
    : m_owner(std::move(owner))
    , m_incarnation(incarnation)
    , m_limits(limits)
{
}

bool order_registry::isOwnerOf(const order_ticket& ticket) const
{
    return ticket.owner == m_owner && ticket.incarnation == m_incarnation;
}

bool order_registry::canIssue(const client_account_id& account, std::int64_t ticketLimit) const
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        return m_orders.size() < m_limits.orders;
    if (!found->second.ended.empty())
        return true;
    return m_orders.size() < m_limits.orders && found->second.count < static_cast<std::size_t>(ticketLimit);
}

order_ticket order_registry::issue(
    const client_account_id& account, std::int64_t ticketLimit, std::uint64_t nonce, time_point now)
{
    KUMQUATBEAM_INVARIANT(canIssue(account, ticketLimit));
    const bool isFull
        = m_orders.size() >= m_limits.orders || m_accounts[account].count >= static_cast<std::size_t>(ticketLimit);
    if (isFull)
        evictOldestEnded(account);
    const auto number = ++m_lastNumber;
    order_ticket ticket { m_owner, m_incarnation, number, nonce };
    order_record record { .ticket = ticket, .account = account, .placeBefore = now + ticketLifetime };
    auto& stored = m_orders.emplace(number, std::move(record)).first->second;
    ++m_accounts[account].count;
    setExpiry(stored, stored.placeBefore);
    return ticket;
}

const order_record* order_registry::find(const order_ticket& ticket, time_point now) const
{
    const auto found = m_orders.find(ticket.sequence);
    if (found == m_orders.end() || found->second.ticket != ticket || found->second.expiresAt <= now)
        return nullptr;
    return &found->second;
}

void order_registry::start(const order_ticket& ticket, order_fingerprint fingerprint)
{
    auto& record = at(ticket);
    KUMQUATBEAM_INVARIANT(record.state == order_state::Issued);
    record.state = order_state::InProgress;
    record.fingerprint = fingerprint;
    setExpiry(record, never);
}

void order_registry::addWaiter(const order_ticket& ticket, request_id waiter)
{
    auto& record = at(ticket);
    KUMQUATBEAM_INVARIANT(record.state == order_state::InProgress && canAddWaiter(record));
    record.waiters.push_back(waiter);
}

void order_registry::removeWaiter(const order_ticket& ticket, request_id waiter)
{
    std::erase(at(ticket).waiters, waiter);
}

std::vector<request_id> order_registry::complete(const order_ticket& ticket, const call_reply& reply, time_point now)
{
    auto& record = at(ticket);
    KUMQUATBEAM_INVARIANT(record.state == order_state::InProgress);
    auto waiters = std::exchange(record.waiters, {});
    store(record, reply, now);
    return waiters;
}

bool order_registry::cancel(const order_ticket& ticket, const client_account_id& account, order_fingerprint fingerprint,
    const call_reply& reply, time_point now)
{
    const auto* known = find(ticket, now);
    if (!known || known->account != account)
        return false;
    if (known->state == order_state::Ended)
        return known->reply.kind == reply_kind::NotRun;
    if (known->state != order_state::Issued)
        return false;
    auto& record = at(ticket);
    record.fingerprint = fingerprint;
    store(record, reply, now);
    return true;
}

time_point order_registry::nextDeadline() const
{
    return m_expiries.empty() ? never : m_expiries.begin()->first;
}

void order_registry::expire(time_point now)
{
    while (nextDeadline() <= now)
        eraseOrder(m_expiries.begin()->second);
}

order_record& order_registry::at(const order_ticket& ticket)
{
    const auto found = m_orders.find(ticket.sequence);
    KUMQUATBEAM_INVARIANT(found != m_orders.end() && found->second.ticket == ticket);
    return found->second;
}

void order_registry::setExpiry(order_record& record, time_point deadline)
{
    m_expiries.erase({ record.expiresAt, record.ticket.sequence });
    record.expiresAt = deadline;
    if (deadline != never)
        m_expiries.emplace(deadline, record.ticket.sequence);
}

void order_registry::store(order_record& record, const call_reply& reply, time_point now)
{
    const auto account = record.account;
    record.state = order_state::Ended;
    record.reply = reply;
    setExpiry(record, std::max(now + replyRetention, record.placeBefore));
    auto& orders = m_accounts[account];
    orders.ended.emplace(record.expiresAt, record.ticket.sequence);
    orders.storedBytes += sizeOf(reply);
    m_storedBytes += sizeOf(reply);
    evictReplies(account);
}

void order_registry::evictReplies(const client_account_id& account)
{
    while (m_accounts[account].storedBytes > m_limits.accountReplyBytes)
        evictOldestEnded(account);
    while (m_storedBytes > m_limits.replyBytes)
        evictOldestEnded(accountWithMostStored());
}

client_account_id order_registry::accountWithMostStored() const
{
    const auto largest = std::max_element(m_accounts.begin(), m_accounts.end(),
        [](const auto& left, const auto& right) { return left.second.storedBytes < right.second.storedBytes; });
    KUMQUATBEAM_INVARIANT(largest != m_accounts.end());
    return largest->first;
}

void order_registry::evictOldestEnded(const client_account_id& account)
{
    const auto& ended = m_accounts[account].ended;
    KUMQUATBEAM_INVARIANT(!ended.empty());
    eraseOrder(ended.begin()->second);
}

void order_registry::eraseOrder(order_number number)
{
    const auto found = m_orders.find(number);
    KUMQUATBEAM_INVARIANT(found != m_orders.end() && found->second.state != order_state::InProgress);
    const auto& record = found->second;
    const auto account = m_accounts.find(record.account);
    if (record.state == order_state::Ended) {
        account->second.ended.erase({ record.expiresAt, number });
        account->second.storedBytes -= sizeOf(record.reply);
        m_storedBytes -= sizeOf(record.reply);
    }
    m_expiries.erase({ record.expiresAt, number });
    if (--account->second.count == 0)
        m_accounts.erase(account);
    m_orders.erase(found);
}

} // namespace kumquatbeam
