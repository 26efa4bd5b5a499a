"""Checks that a leaving endpoint gets no new work after 3 s, whichever single source announces that it is leaving."""

import sys
import time

import fleet
from checks import Checks
from steady_calls import SteadyCalls

LEAVING_BOUND_SECONDS = 3
OBSERVATION_SECONDS = 5


def starts_after(running, engine, moment):
    return [start for start in running.engine_counts()[engine]["started_at"] if start > moment]


def wait_for_work(running, engine, timeout=10):
    """Waits until the engine gets work and returns the current time; a new fleet grants no slots for one lease."""
    deadline = time.time() + timeout
    while time.time() < deadline and not starts_after(running, engine, time.time() - 0.5):
        time.sleep(0.1)
    return time.time()


def check_source(running, checks, source, engine, announce_leaving):
    """Announces through one source that the engine is leaving; checks the engine's own record of new work."""
    before = wait_for_work(running, engine)
    checks.at_least(f"{source}: the endpoint gets work before the announcement",
                    len(starts_after(running, engine, before - 1)), 1)
    announce_leaving()
    announced_at = time.time()
    time.sleep(OBSERVATION_SECONDS)
    late = starts_after(running, engine, announced_at + LEAVING_BOUND_SECONDS)
    checks.equal(f"{source}: new work later than {LEAVING_BOUND_SECONDS} s after the announcement", len(late), 0)
    last = max(starts_after(running, engine, before - 1), default=announced_at)
    print(f"{source}: the last new work arrived {last - announced_at:.2f} s after the announcement")


def publish_leaving(running, *engines):
    running.leaving_endpoints = {f"engine{engine}" for engine in engines}
    running.publish_members()


def check_single_router(checks):
    """Runs a single router, so that no peer can inform it."""
    with fleet.Fleet(routers=1, engines=4, services=0) as running, SteadyCalls(running, running.routers[0], threads=24):
        check_source(running, checks, "member list", 0, lambda: publish_leaving(running, 0))
        check_source(running, checks, "own report", 1, lambda: running.engine_control(1, leaving="yes"))

        publish_leaving(running)
        running.engine_control(1, leaving="no")
        running.publish_document()
        withdrawn_at = time.time()
        time.sleep(3)
        checks.equal("an endpoint stays leaving after the announcement is withdrawn",
                     len(starts_after(running, 0, withdrawn_at)) + len(starts_after(running, 1, withdrawn_at)), 0)

        spare, = fleet.free_ports(1)
        running.spawn("spare", [sys.executable, "engine.py", "--ports", spare, "--slots", running.engine_slots])
        running.wait_for_port("127.0.0.1", spare)
        running.engine_ports[0] = running.advertised_engine_ports[0] = spare
        running.publish_document()
        time.sleep(2)
        checks.at_least("the endpoint gets work again after its address changes", running.engine_counts()[0]["started"], 1)
        check_source(running, checks, "own report from the new address", 0,
                     lambda: running.engine_control(0, leaving="yes"))


def check_peer_propagation(checks):
    """Cuts the router that has the traffic off from the platform, so that only its peer can inform it."""
    with fleet.Fleet(routers=2, engines=3, services=0, relay=True) as running:
        router = running.routers[0]
        running.relay(from_=router.address, to=running.advertised_platform_port, mode="cut")
        with SteadyCalls(running, router, threads=24):
            check_source(running, checks, "peer", 0, lambda: publish_leaving(running, 0))


def main():
    checks = Checks("leaving")
    check_single_router(checks)
    check_peer_propagation(checks)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
