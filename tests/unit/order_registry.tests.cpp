#include "kumquatbeam/decisions/order_registry.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;

const client_account_id large { "large" };
const client_account_id small { "small" };
constexpr std::int64_t manyTickets = 1000;
constexpr order_fingerprint someFingerprint { 7 };
const time_point start { std::chrono::hours(1) };

order_registry makeRegistry(order_registry_limits limits = {})
{
    return { { "r1" }, { 11 }, limits };
}

call_reply answer(const std::string& body)
{
    call_reply reply { .kind = reply_kind::Answered };
    reply.body = body;
    return reply;
}

order_ticket issueAndEnd(
    order_registry& registry, const client_account_id& account, const std::string& body, time_point now)
{
    auto ticket = registry.issue(account, manyTickets, 1, now);
    registry.start(ticket, someFingerprint);
    registry.complete(ticket, answer(body), now);
    return ticket;
}

} // namespace

TEST_CASE("A ticket names its owner's incarnation and is found until its deadline [order_registry]")
{
    auto registry = makeRegistry();
    const auto ticket = registry.issue(large, manyTickets, 5, start);
    CHECK(registry.isOwnerOf(ticket));
    REQUIRE(registry.find(ticket, start));
    CHECK(registry.find(ticket, start)->account == large);
    CHECK_FALSE(registry.find(ticket, start + ticketLifetime));

    auto other = ticket;
    other.incarnation = { 12 };
    CHECK_FALSE(registry.isOwnerOf(other));
}

TEST_CASE("A ticket with a guessed nonce is unknown [order_registry]")
{
    auto registry = makeRegistry();
    auto ticket = registry.issue(large, manyTickets, 5, start);
    ticket.nonce = 6;
    CHECK_FALSE(registry.find(ticket, start));
}

TEST_CASE("Expired tickets are removed, and orders in progress are not [order_registry]")
{
    auto registry = makeRegistry();
    const auto idle = registry.issue(large, manyTickets, 1, start);
    const auto running = registry.issue(large, manyTickets, 2, start);
    registry.start(running, someFingerprint);
    CHECK(registry.nextDeadline() == start + ticketLifetime);

    registry.expire(start + 10 * ticketLifetime);
    CHECK_FALSE(registry.find(idle, start));
    CHECK(registry.find(running, start + 10 * ticketLifetime));
    CHECK(registry.size() == 1);
    CHECK(registry.nextDeadline() == never);
}

TEST_CASE("An ended order returns its waiters and keeps its reply for the retention time [order_registry]")
{
    auto registry = makeRegistry();
    const auto ticket = registry.issue(large, manyTickets, 1, start);
    registry.start(ticket, someFingerprint);
    registry.addWaiter(ticket, { 1 });
    registry.addWaiter(ticket, { 2 });
    registry.removeWaiter(ticket, { 1 });

    const auto late = start + 2 * ticketLifetime;
    CHECK(registry.complete(ticket, answer("done"), late) == std::vector<request_id> { { 2 } });
    REQUIRE(registry.find(ticket, late));
    CHECK(registry.find(ticket, late)->reply.body == "done");
    CHECK_FALSE(registry.find(ticket, late + replyRetention));
}

TEST_CASE("Only an issued order of the same account can be cancelled, and it stays cancelled [order_registry]")
{
    auto registry = makeRegistry();
    const call_reply refusal { .kind = reply_kind::NotRun };
    const auto ticket = registry.issue(large, manyTickets, 1, start);
    CHECK_FALSE(registry.cancel(ticket, small, someFingerprint, refusal, start));
    CHECK(registry.cancel(ticket, large, someFingerprint, refusal, start));
    CHECK(registry.cancel(ticket, large, someFingerprint, refusal, start));
    CHECK(registry.find(ticket, start)->state == order_state::Ended);

    const auto running = registry.issue(large, manyTickets, 1, start);
    registry.start(running, someFingerprint);
    CHECK_FALSE(registry.cancel(running, large, someFingerprint, refusal, start));
    registry.complete(running, answer("done"), start);
    CHECK_FALSE(registry.cancel(running, large, someFingerprint, refusal, start));
}

TEST_CASE("An account at its ticket limit gets a new ticket only in place of its own ended orders [order_registry]")
{
    constexpr std::int64_t limit = 2;
    auto registry = makeRegistry();
    const auto first = registry.issue(large, limit, 1, start);
    registry.issue(large, limit, 2, start);
    CHECK_FALSE(registry.canIssue(large, limit));
    CHECK(registry.canIssue(small, limit));

    registry.start(first, someFingerprint);
    CHECK_FALSE(registry.canIssue(large, limit));
    registry.complete(first, answer("done"), start);
    REQUIRE(registry.canIssue(large, limit));
    registry.issue(large, limit, 3, start);
    CHECK_FALSE(registry.find(first, start));
    CHECK(registry.size() == 2);
}

TEST_CASE("The registry holds no more orders than its limit [order_registry]")
{
    order_registry_limits limits;
    limits.orders = 2;
    auto registry = makeRegistry(limits);
    registry.issue(large, manyTickets, 1, start);
    registry.issue(small, manyTickets, 2, start);
    CHECK_FALSE(registry.canIssue(large, manyTickets));
    CHECK_FALSE(registry.canIssue({ "other" }, manyTickets));
}

TEST_CASE("Stored replies stay within an account's byte limit, and the oldest is evicted first [order_registry]")
{
    order_registry_limits limits;
    limits.accountReplyBytes = { 4096 };
    auto registry = makeRegistry(limits);
    const auto first = issueAndEnd(registry, large, std::string(2000, 'a'), start);
    const auto other = issueAndEnd(registry, small, std::string(2000, 'b'), start);
    const auto second = issueAndEnd(registry, large, std::string(2000, 'c'), start + std::chrono::seconds(1));
    CHECK_FALSE(registry.find(first, start));
    CHECK(registry.find(second, start));
    CHECK(registry.find(other, start));
}

TEST_CASE("Stored replies stay within the registry's byte limit, and replies of the account with the most are "
          "evicted [order_registry]")
{
    order_registry_limits limits;
    limits.replyBytes = { 8000 };
    auto registry = makeRegistry(limits);
    const auto modest = issueAndEnd(registry, small, "short", start);
    const auto first = issueAndEnd(registry, large, std::string(4000, 'a'), start);
    const auto second = issueAndEnd(registry, large, std::string(4000, 'b'), start + std::chrono::seconds(1));
    CHECK(registry.find(modest, start));
    CHECK_FALSE(registry.find(first, start));
    CHECK(registry.find(second, start));
    CHECK(registry.storedBytes() <= limits.replyBytes);
}

TEST_CASE("A reply too large to store is removed at once, together with its ticket [order_registry]")
{
    order_registry_limits limits;
    limits.accountReplyBytes = { 100 };
    auto registry = makeRegistry(limits);
    const auto ticket = issueAndEnd(registry, large, std::string(1000, 'a'), start);
    CHECK_FALSE(registry.find(ticket, start));
    CHECK(registry.storedBytes() == byte_count { 0 });
    CHECK(registry.size() == 0);
}

TEST_CASE("Calls that differ in any part have different fingerprints [order_registry]")
{
    call_request call { .credential = "x", .pool = { "booking" } };
    call.target = "/order";
    call.body = "one";
    auto other = call;
    CHECK(fingerprintOf(call) == fingerprintOf(other));
    other.body = "two";
    CHECK(fingerprintOf(call) != fingerprintOf(other));
    other = call;
    other.target = "/orde";
    other.body = "rone";
    CHECK(fingerprintOf(call) != fingerprintOf(other));
}
