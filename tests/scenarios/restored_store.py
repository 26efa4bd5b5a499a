"""Restores the store of the users' platform from an older copy, over real entry routers on stand-ins: a removed key stays
rejected, a drained and a removed worker get nothing, a revision that is assigned again with other content is noticed, and
what is written again takes effect."""

import json
import sys
import time

import fleet
import platform_fleet
from checks import Checks
from platform_fleet import Caller

# Time within which a change in the store is in force at every router.
CHANGE_SECONDS = 2.5

# Time for which keys are accepted without confirmation, and the time after which a router is no longer ready.
REVOCATION_SECONDS = 5

# Time after a restore for which an entry of the copy is not used if its worker had left.
HOLD_SECONDS = 10


def status_of(router):
    return json.loads(fleet.http("GET", f"http://{router.address}:{router.last_internal_port}/status")[2])


def arrivals(running, worker, prefix):
    return [arrival["id"] for arrival in running.worker_record(worker)["arrivals"] if arrival["id"].startswith(prefix)]


def call_status(router, request_id, key="key-weavers", path="/lookup/1"):
    return Caller(router).call(request_id, path, key=key)[0]


def wait_until(condition, timeout):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


def publish(running, version, builders_keys):
    """Writes a configuration of this version, in which the account `builders` has these keys."""
    running.version = version - 3
    running.keys["builders"] = builders_keys
    running.publish_routes()


def check_removed_key(checks, running):
    """The copy has the key and an older version; the routers know the version that removed it."""
    router, other = running.routers
    running.store("restore")
    restored_at = time.monotonic()
    statuses = []
    number = 0
    while time.monotonic() < restored_at + REVOCATION_SECONDS + CHANGE_SECONDS:
        for index, asked in enumerate((router, other)):
            statuses.append(call_status(asked, f"lost-{index}-{number}", "key-builders"))
            call_status(asked, f"plain-{index}-{number}")
        number += 1
        time.sleep(0.1)
    checks.true("a key that a lost version had removed is never accepted", statuses and 200 not in statuses,
                {status: statuses.count(status) for status in statuses})
    checks.equal("an older version confirms no keys", [call_status(asked, "stale") for asked in running.routers], [503, 503])
    checks.equal("a router that cannot confirm its keys is not ready",
                 [running.is_ready(asked) for asked in running.routers], [False, False])
    checks.equal("calls to public routes are answered", call_status(router, "open-lost", None, "/open/1"), 200)
    checks.equal("the worker that had drained gets nothing", arrivals(running, "plain0", "plain-"), [])
    checks.equal("the worker that had left gets nothing", arrivals(running, "plain1", "plain-"), [])
    checks.at_least("the worker that is left has served", len(arrivals(running, "plain2", "plain-")), 10)
    checks.equal("the status states the era", [status_of(asked)["source_era"] for asked in running.routers], [1, 1])
    checks.equal("and the number of eras seen", [status_of(asked)["source_eras_seen"] for asked in running.routers], [2, 2])
    checks.true("the log states the era", "source: era 1 before=0" in running.read_log(router.name))

    running.kill(other)
    running.start_router(other)
    answered = []
    started_at = time.monotonic()
    while time.monotonic() < started_at + 3:
        try:
            answered.append(call_status(other, f"restarted-{len(answered)}", "key-builders"))
        except OSError:
            pass
        time.sleep(0.1)
    checks.true("a router that starts after the restore never accepts the key", answered and 200 not in answered, answered)
    checks.true("and is not ready", not running.is_ready(other))
    return restored_at


def check_written_again(checks, running, version, restored_at):
    router = running.routers[0]
    running.keys["masons"] = ["key-masons"]
    publish(running, version, [])
    for asked in running.routers:
        running.wait_ready(asked, timeout=CHANGE_SECONDS)
    checks.equal("the version that was lost is in force again, with its new content",
                 [call_status(asked, "again", "key-masons") for asked in running.routers], [200, 200])
    checks.equal("the removed key stays rejected", [call_status(asked, "again-lost", "key-builders") for asked in running.routers],
                 [401, 401])
    running.announce("plain1", sequence=2)
    time.sleep(CHANGE_SECONDS)
    for number in range(12):
        call_status(router, f"back-{number}")
    checks.at_least("a worker that had left gets calls once its entry is written again", len(arrivals(running, "plain1", "back-")), 1)
    # Its own word that it drains is lost, so the copy announces it as ready until its entry expires.
    time.sleep(max(0, restored_at + HOLD_SECONDS - time.monotonic()) + CHANGE_SECONDS)
    for number in range(12):
        call_status(router, f"late-{number}")
    checks.equal("a drained worker gets nothing later either", arrivals(running, "plain0", "late-"), [])
    running.announce("plain0", born=2, sequence=1)
    time.sleep(CHANGE_SECONDS)
    for number in range(12):
        call_status(router, f"new-{number}")
    checks.at_least("its next incarnation gets calls", len(arrivals(running, "plain0", "new-")), 1)


def check_revision_assigned_again(checks, running, version):
    """The restore and the next write happen between two reads, so that a read shows the known revision with other content."""
    running.store("copy")
    publish(running, version, [])
    first = running.store("mode")["revision"]
    wait_until(lambda: all(status_of(asked)["document_revision"] == version for asked in running.routers), CHANGE_SECONDS)
    running.store("restore")
    publish(running, version, ["key-new"])
    checks.equal("the revision is assigned again", running.store("mode")["revision"], first)
    time.sleep(CHANGE_SECONDS)
    checks.equal("a revision that is assigned again with other content is noticed",
                 [call_status(asked, "assigned", "key-new") for asked in running.routers], [200, 200])


def main():
    checks = Checks("restored store")
    with platform_fleet.PlatformFleet(engines=1, plain_workers=3) as running:
        checks.equal("a key is accepted before it is removed",
                     [call_status(asked, "first", "key-builders") for asked in running.routers], [200, 200])
        running.store("copy")
        version = running.version + 3
        publish(running, version, [])
        running.announce("plain0", state="draining")
        running.withdraw("plain1")
        time.sleep(CHANGE_SECONDS)
        checks.equal("a removed key is rejected before the restore",
                     [call_status(asked, "removed", "key-builders") for asked in running.routers], [401, 401])
        running.withdraw("plain0")
        time.sleep(CHANGE_SECONDS)
        restored_at = check_removed_key(checks, running)
        check_written_again(checks, running, version, restored_at)
        check_revision_assigned_again(checks, running, version + 3)
        checks.true("no router has ended", all(router.process.poll() is None for router in running.routers))
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
