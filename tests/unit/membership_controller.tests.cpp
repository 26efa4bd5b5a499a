#include "kumquatbeam/controllers/decision_core.hpp"

#include "recorded_commands.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace {

using namespace kumquatbeam;
using namespace std::chrono_literals;

const entry_vm_id self { "r1" };
const entry_vm_id peer { "r2" };
const endpoint_id engine { "e1" };

std::string documentAtPort(int port)
{
    return "[pool model]\nowner=models\nrepeatable=yes\n[endpoint e1]\nowner=e\npool=model\ndomain=north\n"
           "address=127.0.0.1\nslots=1\nport="
        + std::to_string(port) + "\n";
}

std::string members(bool isPeerLeaving = false)
{
    return "[entry-vm r1]\ndomain=north\naddress=127.0.0.1\npeer-port=1\n[entry-vm r2]\ndomain=south\n"
           "address=127.0.0.2\npeer-port=1\nleaving="
        + std::string(isPeerLeaving ? "yes\n" : "no\n");
}

const std::string engineLeaving = "[endpoint e1]\nleaving=yes\n";

/// Decision core of r1 that knows the peer r2 and one engine at port 9000.
class member_core {
public:
    explicit member_core(router_settings settings = { .self = self, .domain = { "north" } })
        : m_core(std::move(settings), incarnation_id { 1 }, commands, log)
    {
        m_core.onDeadline(now);
    }

    void connectAll()
    {
        handle(members_published { { 1 }, members() });
        handle(document_published { { 1 }, documentAtPort(9000) });
        handle(peer_connected { { peer, { 7 }, { "south" } } });
        receiveHeartbeat({});
    }

    void handle(const decision_event& event) { m_core.handle(event, now); }
    void receiveHeartbeat(peer_heartbeat heartbeat) { handle(peer_received { peer, std::move(heartbeat) }); }

    void pass(std::chrono::milliseconds span)
    {
        const auto end = now + span;
        while (now < end) {
            now += 50ms;
            if (m_core.nextDeadline() <= now)
                m_core.onDeadline(now);
        }
    }

    status_report status()
    {
        commands.clear();
        handle(status_requested { { 1 } });
        return commands.all<status_reply>().front().report;
    }

    bool isEngineLeaving() { return status().endpoints.front().isLeaving; }
    bool isPeerReachable() { return status().peers.front().isReachable; }

    bool hasLoggedPeerSilent() const
    {
        return std::any_of(log.changes.begin(), log.changes.end(),
            [](const change_record& record) { return record.change == "peer silent"; });
    }

    recorded_commands commands;
    recorded_log log;
    time_point now = time_point {} + 1h;

private:
    decision_core m_core;
};

load_observed leavingReport(std::int64_t port)
{
    return { engine, endpoint_load { engine, 0, 0, true }, "127.0.0.1", port };
}

wire_key engineKey(std::int64_t port)
{
    endpoint_description description;
    description.id = engine;
    description.address = "127.0.0.1";
    description.port = port;
    return addressKeyOf(description);
}

} // namespace

TEST_CASE("An endpoint is leaving if any source reports it, and stays so if the source revokes the report [membership]")
{
    member_core core;
    core.connectAll();
    REQUIRE_FALSE(core.isEngineLeaving());
    SUBCASE("the member list")
    {
        core.handle(members_published { { 2 }, members() + engineLeaving });
    }
    SUBCASE("its own report")
    {
        core.handle(leavingReport(9000));
    }
    SUBCASE("a peer")
    {
        core.receiveHeartbeat({ .leavingEndpoints = { engineKey(9000) } });
    }
    CHECK(core.isEngineLeaving());
    core.handle(members_published { { 3 }, members() });
    core.handle(load_observed { engine, endpoint_load { engine, 0, 0, false }, "127.0.0.1", 9000 });
    core.receiveHeartbeat({});
    core.handle(document_published { { 2 }, documentAtPort(9000) });
    CHECK(core.isEngineLeaving());
}

TEST_CASE("An endpoint at a new address is a new incarnation, whatever stale sources report [membership]")
{
    member_core core;
    core.connectAll();
    core.handle(members_published { { 2 }, members() + engineLeaving });
    core.handle(document_published { { 2 }, documentAtPort(9001) });
    CHECK_FALSE(core.isEngineLeaving());
    core.handle(members_published { { 3 }, members() + engineLeaving });
    core.handle(leavingReport(9000));
    core.receiveHeartbeat({ .leavingEndpoints = { engineKey(9000) } });
    CHECK_FALSE(core.isEngineLeaving());
    core.handle(members_published { { 4 }, members() });
    core.handle(members_published { { 5 }, members() + engineLeaving });
    CHECK(core.isEngineLeaving());
}

TEST_CASE("Leaving endpoints are reported to peers immediately [membership]")
{
    member_core core;
    core.connectAll();
    core.pass(100ms);
    core.commands.clear();
    core.handle(leavingReport(9000));
    core.pass(50ms);
    const auto heartbeats = core.commands.messages<peer_heartbeat>();
    REQUIRE(heartbeats.size() == 1);
    CHECK(heartbeats.front().second.leavingEndpoints == std::vector { engineKey(9000) });
}

TEST_CASE("A silent peer is unreachable after the timeout and reachable again after its next message [membership]")
{
    member_core core;
    core.connectAll();
    CHECK(core.isPeerReachable());
    core.pass(membership_controller::peerTimeout - 100ms);
    CHECK(core.isPeerReachable());
    core.pass(200ms);
    CHECK_FALSE(core.isPeerReachable());
    CHECK(core.hasLoggedPeerSilent());
    core.receiveHeartbeat({});
    CHECK(core.isPeerReachable());
}

TEST_CASE("A peer that is draining or listed as leaving is not reachable [membership]")
{
    member_core core;
    core.connectAll();
    SUBCASE("draining")
    {
        core.receiveHeartbeat({ .isDraining = true });
    }
    SUBCASE("leaving")
    {
        core.handle(members_published { { 2 }, members(true) });
    }
    CHECK_FALSE(core.isPeerReachable());
}

TEST_CASE("After a pause the state that peers reported earlier is discarded [membership]")
{
    member_core core;
    core.connectAll();
    core.now += pause_detector::maximumIterationGap + 1ms;
    core.commands.clear();
    core.receiveHeartbeat({ .leavingEndpoints = { engineKey(9000) } });
    CHECK(core.commands.all<reconnect_peers>().size() == 1);
    CHECK_FALSE(core.isPeerReachable());
    CHECK_FALSE(core.isEngineLeaving());
    core.handle(peer_connected { { peer, { 7 }, { "south" } } });
    CHECK(core.isPeerReachable());
}

TEST_CASE("An unreadable member list leaves the last one in use [membership]")
{
    member_core core;
    core.connectAll();
    core.commands.clear();
    core.handle(members_published { { 2 }, "[entry-vm" });
    CHECK(core.commands.all<set_peers>().empty());
    CHECK(core.status().peers.size() == 1);
    CHECK_FALSE(core.log.failures.empty());
}

TEST_CASE("The router connects to the initial peers of the settings while the platform is unreachable [membership]")
{
    router_settings settings { .self = self, .domain = { "north" } };
    settings.initialPeers.push_back({ peer, { "south" }, "127.0.0.2", 9 });
    member_core core(std::move(settings));
    const auto commands = core.commands.all<set_peers>();
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().peers.front().id == peer);
}

TEST_CASE("Without a member list a router knows itself and the connected peers [membership]")
{
    recorded_commands commands;
    recorded_log log;
    std::deque<decision_event> raised;
    const router_settings settings { .self = self, .domain = { "north" } };
    const configuration_controller configuration;
    membership_controller membership(settings, configuration);
    decision_context context { time_point {}, commands, log, raised };

    REQUIRE(membership.routers().size() == 1);
    CHECK(membership.routers().front().router == self);
    CHECK(membership.routers().front().isReachable);

    membership.handle(peer_connected { { peer, { 7 }, { "south" } } }, context);
    const auto routers = membership.routers();
    REQUIRE(routers.size() == 2);
    CHECK(routers.back().domain == failure_domain_id { "south" });
    CHECK(routers.back().incarnation == incarnation_id { 7 });
}
