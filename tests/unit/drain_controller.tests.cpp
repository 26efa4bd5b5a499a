#include "kumquatbeam/controllers/drain_controller.hpp"

#include "recorded_commands.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;
using namespace std::chrono_literals;

/// Drain controller with a notice of one second and a limit of ten seconds.
class driven_drain {
public:
    driven_drain() { m_settings.drainNotice = 1000ms; }

    void handle(const decision_event& event)
    {
        decision_context context { now, commands, m_log, m_raised };
        drain.handle(event, context);
    }

    void advanceTo(time_point then)
    {
        now = then;
        decision_context context { now, commands, m_log, m_raised };
        if (drain.nextDeadline() <= now)
            drain.onDeadline(context);
    }

    void reload(std::chrono::milliseconds limit)
    {
        drainLimit = limit;
        handle(settings_reloaded {});
    }

    recorded_commands commands;
    time_point now = time_point {} + 1h;
    std::chrono::milliseconds drainLimit = 10000ms;

private:
    router_settings m_settings;
    recorded_log m_log;
    std::deque<decision_event> m_raised;

public:
    drain_controller drain { m_settings, drainLimit };
};

} // namespace

TEST_CASE("A shutdown immediately makes the router not ready, and requests are accepted until the notice ends [drain]")
{
    driven_drain driven;
    const auto began = driven.now;
    driven.handle(shutdown_requested {});
    CHECK(driven.commands.all<begin_drain>().size() == 1);
    CHECK(driven.commands.all<stop_accepting>().empty());
    CHECK_FALSE(driven.drain.refusesRequests(began + 999ms));
    CHECK(driven.drain.refusesRequests(began + 1000ms));
    driven.advanceTo(began + 1000ms);
    CHECK(driven.commands.all<stop_accepting>().size() == 1);
}

TEST_CASE("A shutdown waits for the requests in progress, then for caller and peer connections to close [drain]")
{
    driven_drain driven;
    driven.handle(request_admitted { {} });
    driven.handle(shutdown_requested {});
    driven.advanceTo(driven.now + 1000ms);
    CHECK(driven.commands.all<close_caller_connections>().empty());
    driven.handle(request_ended { {}, {} });
    CHECK(driven.commands.all<close_caller_connections>().size() == 1);
    CHECK(driven.commands.all<finish_process>().empty());
    driven.handle(caller_connections_closed {});
    CHECK(driven.commands.all<close_peer_connections>().size() == 1);
    CHECK(driven.commands.all<finish_process>().empty());
    driven.handle(peer_connections_closed {});
    CHECK(driven.commands.all<finish_process>().size() == 1);
    CHECK(driven.drain.nextDeadline() == never);
}

// LOST: at the end of the grace period, requests in progress were cut off without an answer.
TEST_CASE("A shutdown answers what is in progress at its limit, then waits for the replies to be written [drain]")
{
    driven_drain driven;
    const auto began = driven.now;
    driven.handle(request_admitted { {} });
    driven.handle(shutdown_requested {});
    driven.advanceTo(began + 1000ms);
    driven.advanceTo(began + 10999ms);
    CHECK(driven.commands.all<end_requests>().empty());
    driven.advanceTo(began + 11000ms);
    REQUIRE(driven.commands.all<end_requests>().size() == 1);
    CHECK(driven.commands.all<end_requests>().front().reply.kind == reply_kind::Unknown);
    CHECK(driven.commands.all<finish_process>().empty());
    driven.handle(request_ended { {}, {} });
    CHECK(driven.commands.all<close_caller_connections>().size() == 1);
    driven.handle(caller_connections_closed {});
    driven.handle(peer_connections_closed {});
    CHECK(driven.commands.all<finish_process>().size() == 1);
}

TEST_CASE("A shutdown ends once, soon after its limit, even if a reply cannot be written [drain]")
{
    driven_drain driven;
    const auto began = driven.now;
    driven.handle(request_admitted { {} });
    driven.handle(shutdown_requested {});
    driven.handle(shutdown_requested {});
    driven.advanceTo(began + 1000ms);
    driven.advanceTo(began + 11000ms);
    const auto exit = began + 11000ms + drain_controller::replyAllowance;
    driven.advanceTo(exit - 1ms);
    CHECK(driven.commands.all<finish_process>().empty());
    driven.advanceTo(exit);
    driven.handle(caller_connections_closed {});
    driven.handle(peer_connections_closed {});
    CHECK(driven.commands.all<end_requests>().size() == 1);
    CHECK(driven.commands.all<finish_process>().size() == 1);
}

TEST_CASE("A repeated request to stop changes nothing [drain]")
{
    driven_drain driven;
    const auto began = driven.now;
    driven.handle(request_admitted { {} });
    driven.handle(shutdown_requested {});
    const auto endsAt = driven.drain.endsRequestsAt();
    driven.advanceTo(began + 500ms);
    driven.handle(shutdown_requested {});
    CHECK(driven.drain.endsRequestsAt() == endsAt);
    CHECK(driven.commands.all<begin_drain>().size() == 1);
    CHECK(driven.commands.all<finish_process>().empty());
}

// LOST: streams were cut at the limit of the settings that the process had started with.
TEST_CASE("A shutdown keeps the limit that was in force when it started, not the one of the process's start [drain]")
{
    driven_drain driven;
    driven.reload(18000ms);
    const auto began = driven.now;
    driven.handle(request_admitted { {} });
    driven.handle(shutdown_requested {});
    driven.advanceTo(began + 1000ms);
    driven.advanceTo(began + 18999ms);
    CHECK(driven.commands.all<end_requests>().empty());
    driven.advanceTo(began + 19000ms);
    CHECK(driven.commands.all<end_requests>().size() == 1);
}

TEST_CASE("A limit that is reloaded during a shutdown brings its end forward, and never puts it off [drain]")
{
    driven_drain driven;
    const auto began = driven.now;
    driven.handle(request_admitted { {} });
    driven.handle(shutdown_requested {});
    driven.advanceTo(began + 1000ms);
    SUBCASE("a longer limit changes nothing")
    {
        driven.reload(18000ms);
        CHECK(driven.drain.endsRequestsAt() == began + 11000ms);
    }
    SUBCASE("a shorter limit counts from the start of the shutdown")
    {
        driven.advanceTo(began + 2000ms);
        driven.reload(4000ms);
        CHECK(driven.drain.endsRequestsAt() == began + 5000ms);
        CHECK(driven.drain.nextDeadline() == began + 5000ms);
        driven.advanceTo(began + 5000ms);
        CHECK(driven.commands.all<end_requests>().size() == 1);
        CHECK(driven.drain.nextDeadline() == began + 5000ms + drain_controller::replyAllowance);
    }
    SUBCASE("a limit that has passed ends the requests at once")
    {
        driven.advanceTo(began + 6000ms);
        driven.reload(4000ms);
        driven.advanceTo(began + 6000ms);
        CHECK(driven.commands.all<end_requests>().size() == 1);
    }
    SUBCASE("a limit that is reloaded after the end leaves the last replies their time")
    {
        driven.advanceTo(began + 11000ms);
        driven.reload(4000ms);
        CHECK(driven.drain.nextDeadline() == began + 11000ms + drain_controller::replyAllowance);
    }
}
