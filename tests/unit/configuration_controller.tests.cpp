#include "kumquatbeam/controllers/decision_core.hpp"

#include "recorded_commands.hpp"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace kumquatbeam;
using namespace std::chrono_literals;

const entry_vm_id self { "r1" };
const entry_vm_id second { "r2" };
const entry_vm_id third { "r3" };

std::string documentWithShare(int share)
{
    return "[account weavers]\nowner=accounts\nshare=" + std::to_string(share)
        + "\ncredential-sha256=" + std::string(64, 'a') + "\n[pool model]\nowner=models\nrepeatable=yes\n";
}

std::string memberSection(const entry_vm_id& vm)
{
    return "[entry-vm " + vm.value + "]\ndomain=north\naddress=127.0.0.1\npeer-port=1\n";
}

const std::string threeMembers = memberSection(self) + memberSection(second) + memberSection(third);

/// Decision core of a router with a clock that the test sets.
class driven_core {
public:
    driven_core()
        : m_core(router_settings { .self = self, .domain = { "north" } }, incarnation_id { 1 }, commands, log)
    {
    }

    void handle(const decision_event& event) { m_core.handle(event, now); }

    /// Advances the clock in small steps, as the decisions duty does.
    void pass(std::chrono::milliseconds span)
    {
        const auto end = now + span;
        while (now < end) {
            now += 50ms;
            if (m_core.nextDeadline() <= now)
                m_core.onDeadline(now);
        }
    }

    void connect(const entry_vm_id& peer) { handle(peer_connected { { peer, { 7 }, { "north" } } }); }

    void receiveHeartbeat(const entry_vm_id& peer, std::uint64_t document)
    {
        handle(peer_received { peer, peer_heartbeat { .document = { document }, .members = {} } });
    }

    std::uint64_t activeRevision()
    {
        commands.clear();
        handle(status_requested { { 1 } });
        return commands.all<status_reply>().front().report.document.value;
    }

    recorded_commands commands;
    recorded_log log;
    time_point now = time_point {} + 1h;

private:
    decision_core m_core;
};

} // namespace

TEST_CASE("A router activates its first document once the member list shows that it has no peers [configuration]")
{
    driven_core core;
    core.handle(document_published { { 4 }, documentWithShare(1) });
    CHECK(core.commands.all<set_ready>().empty());
    core.handle(members_published { { 1 }, memberSection(self) });
    REQUIRE(core.commands.all<set_ready>().size() == 1);
    CHECK(core.activeRevision() == 4);
}

TEST_CASE("A router that cannot reach any peer starts after the startup wait limit [configuration]")
{
    driven_core core;
    core.handle(document_published { { 4 }, documentWithShare(1) });
    core.handle(members_published { { 1 }, threeMembers });
    core.pass(document_catch_up::startupWaitLimit - 200ms);
    CHECK(core.activeRevision() == 0);
    core.pass(400ms);
    CHECK(core.activeRevision() == 4);
}

TEST_CASE(
    "A restarted router does not activate an older revision of the platform before a peer's newer one [configuration]")
{
    driven_core core;
    core.handle(document_published { { 4 }, documentWithShare(1) });
    core.handle(members_published { { 1 }, threeMembers });
    core.connect(second);
    core.receiveHeartbeat(second, 6);
    const auto requests = core.commands.messages<document_request>();
    REQUIRE(requests.size() == 1);
    CHECK(requests.front().first == second);
    CHECK(requests.front().second.newerThan == revision { 4 });
    CHECK(core.commands.all<set_ready>().empty());
    core.handle(peer_received { second, document_offer { { 6 }, documentWithShare(2) } });
    core.connect(third);
    core.receiveHeartbeat(third, 6);
    CHECK(core.activeRevision() == 6);
}

TEST_CASE("A router waits beyond the startup wait limit for a newer revision of a connected peer [configuration]")
{
    driven_core core;
    core.handle(document_published { { 4 }, documentWithShare(1) });
    core.handle(members_published { { 1 }, threeMembers });
    core.connect(second);
    for (int heartbeat = 0; heartbeat < 6; ++heartbeat) {
        core.receiveHeartbeat(second, 6);
        core.pass(1s);
    }
    CHECK(core.activeRevision() == 0);
    core.handle(peer_lost { second });
    CHECK(core.activeRevision() == 4);
}

TEST_CASE("A router that cannot reach the platform gets the document from a peer [configuration]")
{
    driven_core core;
    core.handle(members_published { { 1 }, memberSection(self) + memberSection(second) });
    core.connect(second);
    core.receiveHeartbeat(second, 6);
    core.handle(peer_received { second, document_offer { { 6 }, documentWithShare(2) } });
    CHECK(core.activeRevision() == 6);
}

TEST_CASE("A router requests the document from one peer at a time, and from the next after the timeout [configuration]")
{
    driven_core core;
    core.handle(members_published { { 1 }, threeMembers });
    core.connect(second);
    core.connect(third);
    core.receiveHeartbeat(second, 6);
    core.receiveHeartbeat(third, 6);
    CHECK(core.commands.messages<document_request>().size() == 1);
    core.pass(document_catch_up::offerTimeout + 100ms);
    const auto requests = core.commands.messages<document_request>();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].first != requests[1].first);
}

TEST_CASE("An older revision never replaces the active one [configuration]")
{
    driven_core core;
    core.handle(members_published { { 1 }, memberSection(self) + memberSection(second) });
    core.connect(second);
    core.receiveHeartbeat(second, 0);
    core.handle(document_published { { 6 }, documentWithShare(2) });
    CHECK(core.activeRevision() == 6);
    core.handle(document_published { { 5 }, documentWithShare(1) });
    core.handle(peer_received { second, document_offer { { 4 }, documentWithShare(1) } });
    CHECK(core.activeRevision() == 6);
}

TEST_CASE("A refused document leaves the last one active and is not requested [configuration]")
{
    driven_core core;
    core.handle(members_published { { 1 }, memberSection(self) + memberSection(second) });
    core.connect(second);
    core.receiveHeartbeat(second, 0);
    core.handle(document_published { { 1 }, documentWithShare(1) });
    core.handle(document_published { { 2 }, documentWithShare(0) });
    CHECK(core.log.failures.size() == 1);
    core.handle(document_published { { 2 }, documentWithShare(0) });
    CHECK(core.log.failures.size() == 1);
    CHECK(core.activeRevision() == 1);
    core.receiveHeartbeat(second, 2);
    core.pass(5s);
    CHECK(core.commands.messages<document_request>().empty());
    core.handle(document_published { { 3 }, documentWithShare(3) });
    CHECK(core.activeRevision() == 3);
}

TEST_CASE("A running router requests a document from a peer only if its own watch is late [configuration]")
{
    driven_core core;
    core.handle(members_published { { 1 }, memberSection(self) + memberSection(second) });
    core.connect(second);
    core.receiveHeartbeat(second, 0);
    core.handle(document_published { { 1 }, documentWithShare(1) });
    core.receiveHeartbeat(second, 2);
    core.pass(1s);
    CHECK(core.commands.messages<document_request>().empty());
    core.receiveHeartbeat(second, 2);
    core.pass(1500ms);
    CHECK(core.commands.messages<document_request>().size() == 1);
}

TEST_CASE("A peer gets the text of the active document only if it is newer than its own [configuration]")
{
    driven_core core;
    core.handle(members_published { { 1 }, memberSection(self) });
    core.connect(second);
    core.handle(document_published { { 5 }, documentWithShare(1) });
    core.handle(peer_received { second, document_request { { 5 } } });
    CHECK(core.commands.messages<document_offer>().empty());
    core.handle(peer_received { second, document_request { { 4 } } });
    const auto offers = core.commands.messages<document_offer>();
    REQUIRE(offers.size() == 1);
    CHECK(offers.front().second.revisionNumber == revision { 5 });
    CHECK(offers.front().second.text == documentWithShare(1));
}
