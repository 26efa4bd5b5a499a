"""Checks that an accepted configuration is in force in all routers within the bound and never reverts, whatever the platform
does."""

import re
import sys
import threading
import time

import fleet
from checks import Checks

PROPAGATION_BOUND_SECONDS = 9
START_BOUND_SECONDS = 9
# A router long-polls two texts. A long poll ends after 10 s at the latest, so that each text takes at most two reads.
IDLE_SECONDS = 12
IDLE_READS_PER_ROUTER = 2 * 2


def revisions(running, routers):
    return [running.status(router)["document_revision"] for router in routers]


def wait_for_revision(running, routers, expected, timeout=PROPAGATION_BOUND_SECONDS + 6):
    """Waits until the revision, or a newer one, is in force in all routers; returns the seconds it took."""
    began = time.monotonic()
    while time.monotonic() - began < timeout:
        if all(found >= expected for found in revisions(running, routers)):
            break
        time.sleep(0.02)
    return round(time.monotonic() - began, 2)


def publish_share(running, share):
    running.accounts[0].share = share
    running.publish_document()


def restart(running, router):
    """Kills and restarts a router, which keeps no state; returns the seconds until it is ready and the revision that it
    accepted first."""
    running.kill(router)
    log_length = len(running.read_log(router.name))
    began = time.monotonic()
    running.start_router(router)
    running.wait_ready(router, timeout=30)
    took = round(time.monotonic() - began, 2)
    first = re.search(r"configuration: accepted (\d+)", running.read_log(router.name)[log_length:])
    return took, int(first.group(1))


def check_propagation(running, checks):
    publish_share(running, 8001)
    took = wait_for_revision(running, running.routers, running.document_revision)
    checks.at_most("a change is in force everywhere, seconds", took, PROPAGATION_BOUND_SECONDS)

    for router in running.routers[1:]:
        running.relay(from_=router.address, to=running.advertised_platform_port, mode="cut")
    publish_share(running, 8002)
    took = wait_for_revision(running, running.routers, running.document_revision)
    checks.at_most("a change that only one router can read is in force everywhere, seconds", took, PROPAGATION_BOUND_SECONDS)
    running.relay(mode="pass")


def check_idle_reads(running, checks):
    wait_for_revision(running, running.routers, running.document_revision)
    time.sleep(4)
    before = running.platform_counts()["calls"]
    time.sleep(IDLE_SECONDS)
    reads = running.platform_counts()["calls"] - before
    checks.at_most(f"platform reads of {len(running.routers)} routers in {IDLE_SECONDS} s without a change", reads,
                   IDLE_READS_PER_ROUTER * len(running.routers))


def check_platform_down(running, checks):
    running.platform_mode(down="yes")
    newest = running.document_revision
    took, first = restart(running, running.routers[1])
    checks.equal("platform down: a restarted router gets the newest revision from its peers", first, newest)
    checks.at_most("platform down: a restarted router is ready, seconds", took, START_BOUND_SECONDS)
    for router in running.routers[1:]:
        running.kill(router)
    for router in running.routers[1:]:
        running.start_router(router)
    for router in running.routers[1:]:
        running.wait_ready(router, timeout=30)
    checks.equal("platform down: after all routers but one restarted, all have the newest revision",
                 set(revisions(running, running.routers)),
                 {newest})
    account = running.accounts[0]
    status, _, body = running.call(running.routers[1], account, "model", "/generate", "id=a tokens=2 ms=5")
    checks.equal("platform down: a restarted router serves calls", (status, body), (200, b"a:0 a:1 end a 2\n"))
    running.platform_mode(down="no")


def check_stale_platform(running, checks):
    newest = running.document_revision
    running.platform_mode(stale="yes", serve=1)
    took, first = restart(running, running.routers[2])
    checks.equal("platform answers revision 1: the first revision that a restarted router accepts is the newest",
                 first, newest)
    checks.at_most("platform answers revision 1: a restarted router is ready, seconds", took, START_BOUND_SECONDS)
    checks.equal("platform answers revision 1: no router reverts", set(revisions(running, running.routers)), {newest})
    running.platform_mode(stale="no")
    publish_share(running, 8003)
    took = wait_for_revision(running, running.routers, running.document_revision)
    checks.at_most("after the outage a change is in force everywhere, seconds", took, PROPAGATION_BOUND_SECONDS)


def check_two_teams(running, checks):
    lock = threading.Lock()

    def publish(account, base):
        for step in range(10):
            with lock:
                account.share = base + step
                running.publish_document()
            time.sleep(0.05)

    teams = [threading.Thread(target=publish, args=(running.accounts[index], 100 * (index + 1))) for index in (1, 2)]
    for team in teams:
        team.start()
    for team in teams:
        team.join()
    took = wait_for_revision(running, running.routers, running.document_revision)
    checks.at_most("the last of two teams' changes is in force everywhere, seconds", took, PROPAGATION_BOUND_SECONDS)


def check_bad_section(running, checks):
    good = running.document_revision
    running.publish_document(running.document().replace("slots=8", "slots=0", 1))
    time.sleep(4)
    statuses = [running.status(router) for router in running.routers]
    checks.equal("all routers refuse a revision with a faulty section as a whole",
                 {status["document_revision"] for status in statuses},
                 {good})
    checks.equal("the status shows the refused revision",
                 {status["refused_document_revision"] for status in statuses}, {good + 1})
    faults = [re.findall(r"configuration: failure=\S+ because=\"([^\"]*slots[^\"]*)\"", running.read_log(router.name))
              for router in running.routers]
    checks.true("each router logs the refusal once, with key, value and range",
                all(len(found) == 1 and "'0'" in found[0] and "1 to 4096 calls" in found[0] for found in faults), faults[0])
    running.publish_document()
    took = wait_for_revision(running, running.routers, running.document_revision)
    checks.at_most("the corrected document is in force everywhere, seconds", took, PROPAGATION_BOUND_SECONDS)


def check_logs(running, checks):
    for router in running.routers:
        accepted = [int(number) for number in re.findall(r"configuration: accepted (\d+)", running.read_log(router.name))]
        checks.equal(f"{router.name} never reverted to an older revision, in all its incarnations", accepted, sorted(accepted))


def main():
    checks = Checks("configuration")
    with fleet.Fleet(routers=5, engines=2, services=1, relay=True, initial_peers=True) as running:
        check_propagation(running, checks)
        check_platform_down(running, checks)
        check_stale_platform(running, checks)
        check_two_teams(running, checks)
        check_bad_section(running, checks)
        check_idle_reads(running, checks)
        check_logs(running, checks)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
