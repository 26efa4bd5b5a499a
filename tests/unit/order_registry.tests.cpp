#include "kumquatbeam/decisions/order_registry.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;

const client_account_id large { "large" };
const client_account_id small { "small" };
constexpr std::int64_t manyTickets = 1000;
constexpr order_fingerprint someOrder { 7 };
const time_point start { std::chrono::hours(1) };

order_registry makeBook(order_registry_limits limits = {})
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
    order_registry& book, const client_account_id& account, const std::string& body, time_point now)
{
    auto ticket = book.issue(account, manyTickets, 1, now);
    book.start(ticket, someOrder);
    book.complete(ticket, answer(body), now);
    return ticket;
}

} // namespace

TEST_CASE("A ticket names its holder's incarnation and is found until its deadline [order_registry]")
{
    auto book = makeBook();
    const auto ticket = book.issue(large, manyTickets, 5, start);
    CHECK(book.isOwnerOf(ticket));
    REQUIRE(book.find(ticket, start));
    CHECK(book.find(ticket, start)->account == large);
    CHECK_FALSE(book.find(ticket, start + ticketLifetime));

    auto other = ticket;
    other.incarnation = { 12 };
    CHECK_FALSE(book.isOwnerOf(other));
}

TEST_CASE("A ticket with a guessed nonce is unknown [order_registry]")
{
    auto book = makeBook();
    auto ticket = book.issue(large, manyTickets, 5, start);
    ticket.nonce = 6;
    CHECK_FALSE(book.find(ticket, start));
}

TEST_CASE("Expired tickets are forgotten, and orders in progress are not [order_registry]")
{
    auto book = makeBook();
    const auto idle = book.issue(large, manyTickets, 1, start);
    const auto running = book.issue(large, manyTickets, 2, start);
    book.start(running, someOrder);
    CHECK(book.nextDeadline() == start + ticketLifetime);

    book.expire(start + 10 * ticketLifetime);
    CHECK_FALSE(book.find(idle, start));
    CHECK(book.find(running, start + 10 * ticketLifetime));
    CHECK(book.size() == 1);
    CHECK(book.nextDeadline() == never);
}

TEST_CASE("An ended order hands out its waiters and keeps its reply for the stated time [order_registry]")
{
    auto book = makeBook();
    const auto ticket = book.issue(large, manyTickets, 1, start);
    book.start(ticket, someOrder);
    book.addWaiter(ticket, { 1 });
    book.addWaiter(ticket, { 2 });
    book.removeWaiter(ticket, { 1 });

    const auto late = start + 2 * ticketLifetime;
    CHECK(book.complete(ticket, answer("done"), late) == std::vector<request_id> { { 2 } });
    REQUIRE(book.find(ticket, late));
    CHECK(book.find(ticket, late)->reply.body == "done");
    CHECK_FALSE(book.find(ticket, late + replyRetention));
}

TEST_CASE("Only an issued order of the same account is closed unrun, and it stays closed [order_registry]")
{
    auto book = makeBook();
    const call_reply refusal { .kind = reply_kind::NotRun };
    const auto ticket = book.issue(large, manyTickets, 1, start);
    CHECK_FALSE(book.cancel(ticket, small, someOrder, refusal, start));
    CHECK(book.cancel(ticket, large, someOrder, refusal, start));
    CHECK(book.cancel(ticket, large, someOrder, refusal, start));
    CHECK(book.find(ticket, start)->state == order_state::Ended);

    const auto running = book.issue(large, manyTickets, 1, start);
    book.start(running, someOrder);
    CHECK_FALSE(book.cancel(running, large, someOrder, refusal, start));
    book.complete(running, answer("done"), start);
    CHECK_FALSE(book.cancel(running, large, someOrder, refusal, start));
}

TEST_CASE("An account at its ticket limit gets room only from its own ended orders [order_registry]")
{
    constexpr std::int64_t limit = 2;
    auto book = makeBook();
    const auto first = book.issue(large, limit, 1, start);
    book.issue(large, limit, 2, start);
    CHECK_FALSE(book.canIssue(large, limit));
    CHECK(book.canIssue(small, limit));

    book.start(first, someOrder);
    CHECK_FALSE(book.canIssue(large, limit));
    book.complete(first, answer("done"), start);
    REQUIRE(book.canIssue(large, limit));
    book.issue(large, limit, 3, start);
    CHECK_FALSE(book.find(first, start));
    CHECK(book.size() == 2);
}

TEST_CASE("The book as a whole holds no more orders than its limit [order_registry]")
{
    order_registry_limits limits;
    limits.orders = 2;
    auto book = makeBook(limits);
    book.issue(large, manyTickets, 1, start);
    book.issue(small, manyTickets, 2, start);
    CHECK_FALSE(book.canIssue(large, manyTickets));
    CHECK_FALSE(book.canIssue({ "other" }, manyTickets));
}

TEST_CASE("Stored replies stay within an account's bytes, the oldest goes first [order_registry]")
{
    order_registry_limits limits;
    limits.accountReplyBytes = { 4096 };
    auto book = makeBook(limits);
    const auto first = issueAndEnd(book, large, std::string(2000, 'a'), start);
    const auto other = issueAndEnd(book, small, std::string(2000, 'b'), start);
    const auto second = issueAndEnd(book, large, std::string(2000, 'c'), start + std::chrono::seconds(1));
    CHECK_FALSE(book.find(first, start));
    CHECK(book.find(second, start));
    CHECK(book.find(other, start));
}

TEST_CASE("Stored replies of all accounts stay within the book's bytes, at the cost of the largest [order_registry]")
{
    order_registry_limits limits;
    limits.replyBytes = { 8000 };
    auto book = makeBook(limits);
    const auto modest = issueAndEnd(book, small, "short", start);
    const auto first = issueAndEnd(book, large, std::string(4000, 'a'), start);
    const auto second = issueAndEnd(book, large, std::string(4000, 'b'), start + std::chrono::seconds(1));
    CHECK(book.find(modest, start));
    CHECK_FALSE(book.find(first, start));
    CHECK(book.find(second, start));
    CHECK(book.storedBytes() <= limits.replyBytes);
}

TEST_CASE("A reply too large to store is forgotten at once, and the ticket with it [order_registry]")
{
    order_registry_limits limits;
    limits.accountReplyBytes = { 100 };
    auto book = makeBook(limits);
    const auto ticket = issueAndEnd(book, large, std::string(1000, 'a'), start);
    CHECK_FALSE(book.find(ticket, start));
    CHECK(book.storedBytes() == byte_count { 0 });
    CHECK(book.size() == 0);
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
