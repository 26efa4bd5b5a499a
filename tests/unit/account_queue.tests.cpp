#include "kumquatbeam/decisions/account_queue.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;

request_context waitingRequest(std::uint64_t id, urgency urgencyClass, time_point deadline = never)
{
    auto call = std::make_shared<call_request>();
    call->urgencyClass = urgencyClass;
    return { .id = { id }, .call = std::move(call), .deadline = deadline };
}

} // namespace

TEST_CASE("Requests of an account are served by urgency class, then by arrival [account_queue]")
{
    account_queue queue;
    queue.push(waitingRequest(1, urgency::Low));
    queue.push(waitingRequest(2, urgency::High));
    queue.push(waitingRequest(3, urgency::High));
    queue.push(waitingRequest(4, urgency::Normal));

    CHECK(queue.pop()->id == request_id { 2 });
    CHECK(queue.pop()->id == request_id { 3 });
    CHECK(queue.pop()->id == request_id { 4 });
    CHECK(queue.pop()->id == request_id { 1 });
    CHECK_FALSE(queue.pop().has_value());
}

TEST_CASE("removeExpired removes the requests past their deadline and no others [account_queue]")
{
    const time_point now {};
    account_queue queue;
    queue.push(waitingRequest(1, urgency::Normal, now + std::chrono::seconds(1)));
    queue.push(waitingRequest(2, urgency::Low, now + std::chrono::seconds(3)));

    CHECK(queue.nextDeadline() == now + std::chrono::seconds(1));
    const auto expired = queue.removeExpired(now + std::chrono::seconds(2));
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().id == request_id { 1 });
    CHECK(queue.size() == 1);
}

TEST_CASE("A retried request is served before the others of its class [account_queue]")
{
    account_queue queue;
    queue.push(waitingRequest(1, urgency::Normal));
    queue.push(waitingRequest(2, urgency::High));
    queue.pushFront(waitingRequest(3, urgency::Normal));

    CHECK(queue.countAhead(urgency::High) == 1);
    CHECK(queue.countAhead(urgency::Normal) == 3);
    CHECK(queue.pop()->id == request_id { 2 });
    CHECK(queue.pop()->id == request_id { 3 });
    CHECK(queue.pop()->id == request_id { 1 });
}

// LOST: a call whose caller was reading its answer left the queue before it could be resumed.
TEST_CASE("A request waits for the latest deadline only if its caller is being answered [account_queue]")
{
    const time_point now { std::chrono::hours(1) };
    auto call = std::make_shared<call_request>();
    call->sendBefore = now + std::chrono::seconds(1);
    request_context request { .id = { 1 }, .call = std::move(call), .deadline = now + std::chrono::seconds(4) };
    account_queue queue;
    SUBCASE("an unanswered one")
    {
        queue.push(request);
        CHECK(queue.nextDeadline() == now + std::chrono::seconds(1));
        CHECK(queue.removeExpired(now + std::chrono::seconds(2)).size() == 1);
    }
    SUBCASE("one that is being answered")
    {
        request.isBeingAnswered = true;
        queue.pushFront(request);
        CHECK(queue.nextDeadline() == request.deadline);
        CHECK(queue.removeExpired(now + std::chrono::seconds(2)).empty());
        CHECK(queue.removeExpired(now + std::chrono::seconds(4)).size() == 1);
    }
}
