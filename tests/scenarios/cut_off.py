"""Checks that an isolated failure domain keeps serving, that peers behind held links and paused peers are marked
unreachable, and that all of them rejoin."""

import sys
import time

import fleet
from checks import Checks
from steady_calls import SteadyCalls

DETECTION_BOUND_SECONDS = 5
REJOIN_BOUND_SECONDS = 9
PROPAGATION_BOUND_SECONDS = 9


def peer_row(running, router, peer):
    return next(row for row in running.status(router)["peers"] if row["entry_vm"] == peer.name)


def seconds_until(condition, timeout=15):
    began = time.monotonic()
    while time.monotonic() - began < timeout and not condition():
        time.sleep(0.05)
    return round(time.monotonic() - began, 2)


def set_router_links(running, router, others, mode):
    """Sets the relay mode of all links of a router to the platform and to its peers."""
    running.relay(from_=router.address, to=running.advertised_platform_port, mode=mode)
    for other in others:
        running.relay(from_=router.address, to=other.relay_port, mode=mode)
        running.relay(from_=other.address, to=router.relay_port, mode=mode)


def check_isolated_domain(running, checks):
    isolated_router, *others = running.routers
    with SteadyCalls(running, isolated_router, threads=12) as calls:
        time.sleep(1)
        began = time.time()
        set_router_links(running, isolated_router, others, "cut")
        before = running.document_revision
        running.accounts[0].share += 1
        running.publish_document()
        time.sleep(5)
        checks.equal("the isolated domain keeps the last document",
                     running.status(isolated_router)["document_revision"], before)
        checks.equal("it is still ready", fleet.http("GET", isolated_router.url("/ready"))[0], 200)
        checks.true("it marks its peers unreachable",
                    not any(row["reachable"] for row in running.status(isolated_router)["peers"]))
        checks.equal("the other routers have the new document",
                     [running.status(router)["document_revision"] for router in others],
                     [running.document_revision] * len(others))
        outcome_counts = calls.outcome_counts(since=began)
        print(f"outcomes while cut off: {dict(outcome_counts)}")
        checks.at_least("calls served while isolated", outcome_counts["whole"], 50)
        checks.equal("calls failed while isolated", sum(outcome_counts.values()) - outcome_counts["whole"], 0)

        set_router_links(running, isolated_router, others, "pass")
        took = seconds_until(lambda: all(row["reachable"] for row in running.status(isolated_router)["peers"]))
        checks.at_most("its peers are reachable after the rejoin, seconds", took, REJOIN_BOUND_SECONDS)
        took = seconds_until(lambda: running.status(isolated_router)["document_revision"] == running.document_revision)
        checks.at_most("it has the new document after the rejoin, seconds", took, PROPAGATION_BOUND_SECONDS)


def check_held_links(running, checks):
    first, second, _ = running.routers
    running.relay(from_=first.address, to=second.relay_port, mode="hold")
    for router, peer in ((first, second), (second, first)):
        took = seconds_until(lambda: not peer_row(running, router, peer)["reachable"])
        checks.at_most(f"{router.name} marks {peer.name} unreachable while the link is held, seconds",
                       took, DETECTION_BOUND_SECONDS)
        took = seconds_until(lambda: not peer_row(running, router, peer)["connected"])
        checks.at_most(f"{router.name} closes the connection to {peer.name}, seconds", took, DETECTION_BOUND_SECONDS)
    running.relay(from_=first.address, to=second.relay_port, mode="pass")
    for router, peer in ((first, second), (second, first)):
        took = seconds_until(lambda: peer_row(running, router, peer)["reachable"])
        checks.at_most(f"{router.name} marks {peer.name} reachable again, seconds", took, REJOIN_BOUND_SECONDS)


def check_paused_peer(running, checks):
    first, second, _ = running.routers
    running.freeze(second)
    took = seconds_until(lambda: not peer_row(running, first, second)["reachable"])
    checks.at_most("a paused peer is marked unreachable, seconds", took, DETECTION_BOUND_SECONDS)
    running.thaw(second)
    took = seconds_until(lambda: peer_row(running, first, second)["reachable"])
    checks.at_most("a resumed peer is marked reachable again, seconds", took, REJOIN_BOUND_SECONDS)
    checks.true("a resumed router logs the pause, on which it discards the state of its peers",
                "membership: paused" in running.read_log(second.name))


def main():
    checks = Checks("cut off")
    with fleet.Fleet(routers=3, engines=3, services=1, relay=True) as running:
        check_isolated_domain(running, checks)
        check_held_links(running, checks)
        check_paused_peer(running, checks)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
