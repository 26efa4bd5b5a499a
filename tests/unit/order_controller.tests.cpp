#include "core_fixture.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

namespace {

order_ticket ticketOfPeer(incarnation_id incarnation = core_fixture::defaultPeerIncarnation)
{
    return { { "r2" }, incarnation, 1, 99 };
}

failure_kind problemOf(const std::optional<call_reply>& reply)
{
    return reply && reply->problem ? reply->problem->kind : failure_kind::None;
}

order_forward forwarded(const core_fixture& fixture, const order_ticket& ticket, std::uint64_t id = 5)
{
    return { { id }, ticket, fixture.orderCall(ticket) };
}

} // namespace

TEST_CASE("A non-idempotent write call needs a ticket, and a read does not [order_ticket]")
{
    core_fixture fixture;
    auto call = fixture.orderCall({});
    call.ticket.reset();
    const auto write = fixture.sendRequest(call);
    CHECK(fixture.replyTo(write)->kind == reply_kind::NotRun);
    CHECK(problemOf(fixture.replyTo(write)) == failure_kind::TicketRequired);

    call.effect = call_effect::Read;
    fixture.sendRequest(call);
    CHECK(fixture.attempts().size() == 1);
}

TEST_CASE("An order runs once, and a retry gets the stored reply [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    const auto first = fixture.sendRequest(fixture.orderCall(ticket));
    REQUIRE(fixture.attempts().size() == 1);
    fixture.endAttempt(attempt_outcome::Completed, "done");
    CHECK(fixture.replyTo(first)->body == "done");

    const auto retry = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(retry)->kind == reply_kind::Answered);
    CHECK(fixture.replyTo(retry)->body == "done");
    CHECK(fixture.attempts().size() == 1);
}

TEST_CASE("Retries join the order in progress up to a limit [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    std::vector<request_id> waiting;
    for (std::size_t count = 0; count < order_registry_limits {}.waiters; ++count)
        waiting.push_back(fixture.sendRequest(fixture.orderCall(ticket)));
    const auto tooMany = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(tooMany)->kind == reply_kind::Unknown);
    CHECK(problemOf(fixture.replyTo(tooMany)) == failure_kind::OrderInProgress);

    CHECK(fixture.attempts().size() == 1);
    fixture.endAttempt(attempt_outcome::Completed, "done");
    for (const auto id : waiting)
        CHECK(fixture.replyTo(id)->body == "done");
}

TEST_CASE("An order continues when its caller disconnects, and its reply is stored [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    const auto first = fixture.sendRequest(fixture.orderCall(ticket));
    fixture.handle(request_abandoned { first });
    CHECK(core_fixture::all<cancel_attempt>(fixture.commands.endpoints).empty());

    fixture.endAttempt(attempt_outcome::Completed, "done");
    CHECK_FALSE(fixture.replyTo(first).has_value());
    const auto retry = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(retry)->body == "done");
}

TEST_CASE("An order whose answer was incomplete stays unknown and is never retried [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    const auto first = fixture.sendRequest(fixture.orderCall(ticket));
    fixture.endAttempt(attempt_outcome::Broken);
    CHECK(fixture.replyTo(first)->kind == reply_kind::Unknown);
    const auto retry = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(retry)->kind == reply_kind::Unknown);
    CHECK(fixture.attempts().size() == 1);
}

TEST_CASE("An order that ended without running never runs under its ticket [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    auto call = fixture.orderCall(ticket);
    call.deadline = fixture.now;
    const auto late = fixture.sendRequest(call);
    CHECK(fixture.replyTo(late)->kind == reply_kind::NotRun);

    const auto retry = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(retry)->kind == reply_kind::NotRun);
    CHECK(fixture.attempts().empty());
}

TEST_CASE("A refused delivery of an order in progress is reported as unknown, never as not run [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    fixture.sendRequest(fixture.orderCall(ticket));
    auto late = fixture.orderCall(ticket);
    late.deadline = fixture.now;
    const auto refused = fixture.sendRequest(late);
    CHECK(fixture.replyTo(refused)->kind == reply_kind::Unknown);
    CHECK(problemOf(fixture.replyTo(refused)) == failure_kind::DeadlinePassed);

    auto unknownAccountCall = fixture.orderCall(ticket);
    unknownAccountCall.credential = "nobody's";
    const auto unauthorised = fixture.sendRequest(unknownAccountCall);
    CHECK(fixture.replyTo(unauthorised)->kind == reply_kind::Unknown);
}

TEST_CASE("A ticket is valid for one order of one account [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    const auto other = fixture.sendRequest(fixture.orderCall(ticket, "small"));
    CHECK(problemOf(fixture.replyTo(other)) == failure_kind::TicketOfAnotherAccount);

    fixture.sendRequest(fixture.orderCall(ticket));
    auto changed = fixture.orderCall(ticket);
    changed.body = "order=2";
    const auto reused = fixture.sendRequest(changed);
    CHECK(problemOf(fixture.replyTo(reused)) == failure_kind::TicketReused);
    CHECK(fixture.replyTo(reused)->kind == reply_kind::Unknown);
    CHECK(fixture.attempts().size() == 1);
}

TEST_CASE("An expired ticket places no order [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    fixture.pass(ticketLifetime);
    const auto late = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(late)->kind == reply_kind::Unknown);
    CHECK(problemOf(fixture.replyTo(late)) == failure_kind::TicketUnknown);
    CHECK(fixture.attempts().empty());
}

TEST_CASE("An account at its limit of open tickets gets no more [orders]")
{
    core_fixture fixture("ticket-limit=2\n");
    fixture.ticket();
    fixture.ticket();
    const auto refused = fixture.requestTicket();
    CHECK(refused.kind == reply_kind::NotRun);
    CHECK(refused.problem->kind == failure_kind::TicketsExhausted);
    CHECK(refused.retryAt.has_value());
    CHECK(fixture.requestTicket("small").ticket.has_value());
}

TEST_CASE("A waiting request is answered shortly after its own deadline [orders]")
{
    core_fixture fixture;
    const auto ticket = fixture.ticket();
    const auto first = fixture.sendRequest(fixture.orderCall(ticket));
    auto hasty = fixture.orderCall(ticket);
    hasty.deadline = fixture.now + std::chrono::seconds(1);
    const auto joined = fixture.sendRequest(hasty);
    fixture.pass(std::chrono::seconds(2));
    CHECK(fixture.replyTo(joined)->kind == reply_kind::Unknown);
    CHECK_FALSE(fixture.replyTo(first).has_value());
    fixture.endAttempt(attempt_outcome::Completed, "done");
    CHECK(fixture.replyTo(first)->body == "done");
}

TEST_CASE("An order is forwarded to the owner of its ticket, and the owner's reply goes to the caller [forward]")
{
    core_fixture fixture;
    fixture.connectPeer("r2");
    const auto id = fixture.sendRequest(fixture.orderCall(ticketOfPeer()));
    const auto sent = fixture.sentToPeers<order_forward>();
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().first == entry_vm_id { "r2" });
    CHECK(sent.front().second.call.deadline.has_value());
    CHECK(fixture.attempts().empty());

    const call_reply reply { .kind = reply_kind::NotRun, .problem = failure { failure_kind::QueueFull } };
    fixture.handle(peer_received { { "r3" }, order_outcome { id, reply } });
    CHECK_FALSE(fixture.replyTo(id).has_value());
    fixture.handle(peer_received { { "r2" }, order_outcome { id, reply } });
    CHECK(fixture.replyTo(id)->kind == reply_kind::NotRun);
}

TEST_CASE("An order whose owner is unreachable, restarted, lost or silent is unknown, never not run [forward]")
{
    core_fixture fixture;
    const auto unreachable = fixture.sendRequest(fixture.orderCall(ticketOfPeer()));
    CHECK(fixture.replyTo(unreachable)->kind == reply_kind::Unknown);
    CHECK(problemOf(fixture.replyTo(unreachable)) == failure_kind::OwnerUnreachable);

    fixture.connectPeer("r2");
    const auto restarted = fixture.sendRequest(fixture.orderCall(ticketOfPeer({ 23 })));
    CHECK(fixture.replyTo(restarted)->kind == reply_kind::Unknown);
    CHECK(problemOf(fixture.replyTo(restarted)) == failure_kind::TicketUnknown);

    const auto silent = fixture.sendRequest(fixture.orderCall(ticketOfPeer()));
    fixture.pass(std::chrono::seconds(11));
    CHECK(fixture.replyTo(silent)->kind == reply_kind::Unknown);

    const auto lost = fixture.sendRequest(fixture.orderCall(ticketOfPeer()));
    fixture.handle(peer_lost { { "r2" } });
    CHECK(fixture.replyTo(lost)->kind == reply_kind::Unknown);

    fixture.connectPeer("r2");
    const auto replaced = fixture.sendRequest(fixture.orderCall(ticketOfPeer()));
    fixture.connectPeer("r2", { 24 });
    CHECK(fixture.replyTo(replaced)->kind == reply_kind::Unknown);
}

TEST_CASE("A ticket of an earlier incarnation of this router is unknown [forward]")
{
    core_fixture fixture;
    auto ticket = fixture.ticket();
    ticket.incarnation = { 10 };
    const auto id = fixture.sendRequest(fixture.orderCall(ticket));
    CHECK(fixture.replyTo(id)->kind == reply_kind::Unknown);
    CHECK(problemOf(fixture.replyTo(id)) == failure_kind::TicketUnknown);
}

TEST_CASE("A forwarded order runs once, and its outcome is returned under the sender's request id [forward]")
{
    core_fixture fixture;
    fixture.connectPeer("r2");
    const auto ticket = fixture.ticket();
    const auto local = fixture.sendRequest(fixture.orderCall(ticket));
    fixture.handle(peer_received { { "r2" }, forwarded(fixture, ticket, local.value) });
    REQUIRE(fixture.attempts().size() == 1);
    fixture.endAttempt(attempt_outcome::Completed, "done");

    const auto outcomes = fixture.sentToPeers<order_outcome>();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes.front().first == entry_vm_id { "r2" });
    CHECK(outcomes.front().second.id == local);
    CHECK(outcomes.front().second.reply.body == "done");
    CHECK(fixture.replyTo(local)->body == "done");
}

TEST_CASE("A forwarded order passes through the filter chain and is not forwarded again [forward]")
{
    core_fixture fixture;
    fixture.connectPeer("r2");
    auto unknownAccountCall = forwarded(fixture, fixture.ticket());
    unknownAccountCall.call.credential = "nobody's";
    fixture.handle(peer_received { { "r2" }, unknownAccountCall });
    auto elsewhere = forwarded(fixture, ticketOfPeer());
    fixture.handle(peer_received { { "r2" }, elsewhere });

    const auto outcomes = fixture.sentToPeers<order_outcome>();
    REQUIRE(outcomes.size() == 2);
    CHECK(problemOf(outcomes[0].second.reply) == failure_kind::UnknownAccount);
    CHECK(outcomes[0].second.reply.kind == reply_kind::Unknown);
    CHECK(problemOf(outcomes[1].second.reply) == failure_kind::TicketUnknown);
    CHECK(fixture.sentToPeers<order_forward>().empty());
    CHECK(fixture.attempts().empty());
}

TEST_CASE("A draining owner finishes its orders in progress, and refuses the others as not run [forward]")
{
    core_fixture fixture;
    fixture.connectPeer("r2");
    const auto running = fixture.ticket();
    const auto unused = fixture.ticket();
    fixture.sendRequest(fixture.orderCall(running));
    fixture.handle(shutdown_requested {});
    fixture.pass(std::chrono::seconds(2));

    fixture.handle(peer_received { { "r2" }, forwarded(fixture, running, 1) });
    fixture.handle(peer_received { { "r2" }, forwarded(fixture, unused, 2) });
    auto outcomes = fixture.sentToPeers<order_outcome>();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].second.id == request_id { 2 });
    CHECK(outcomes[0].second.reply.kind == reply_kind::NotRun);

    fixture.endAttempt(attempt_outcome::Completed, "done");
    outcomes = fixture.sentToPeers<order_outcome>();
    REQUIRE(outcomes.size() == 2);
    CHECK(outcomes[1].second.reply.body == "done");
}
