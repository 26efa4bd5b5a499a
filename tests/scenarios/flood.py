"""Checks that the other accounts keep their service and that the routers' memory stays bounded while one account floods
through every router, first at low and then at high urgency."""

import sys
import threading
import time

import fleet
from checks import Checks
from open_loop import Stream, run_streams

ENGINES, SLOTS = 2, 4
TOKENS, PACE_MS = 10, 40
CAPACITY = ENGINES * SLOTS / (TOKENS * PACE_MS / 1000)
OTHER_ACCOUNT_COUNT = 4
WARM_UP_SECONDS, MEASURED_SECONDS = 2, 8

# The other accounts together request half of the capacity, so that each requests less than its fair share of a fifth.
OTHERS_LOAD = 0.5
FLOOD_LOAD = 6
MINIMUM_SERVICE_RATIO = 0.95

# An account has at most 200 requests waiting in a router; each holds at most 64 KiB of connection state and buffers.
MEMORY_GROWTH_LIMIT_KIB = 200 * 64


class MemoryWatch(threading.Thread):
    """Records the largest memory growth of any router."""

    def __init__(self, routers):
        super().__init__(daemon=True)
        self.processes = [router.process for router in routers]
        self.before = [memory_kib(process) for process in self.processes]
        self.gained = 0
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.2):
            now = [memory_kib(process) for process in self.processes]
            self.gained = max([self.gained] + [after - before for after, before in zip(now, self.before)])


def memory_kib(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))


def other_streams(running, name):
    return [Stream(running, account, f"{name}-{account.name}", OTHERS_LOAD * CAPACITY / OTHER_ACCOUNT_COUNT, tokens=TOKENS,
                   pace_ms=PACE_MS, counts_by_start_time=True) for account in running.accounts[1:]]


def answered(streams):
    return sum(stream.tally.answered for stream in streams)


def check_flood(checks, running, urgency, undisturbed):
    others = other_streams(running, urgency)
    flood = Stream(running, running.accounts[0], f"flood-{urgency}", FLOOD_LOAD * CAPACITY, urgency=urgency, tokens=TOKENS,
                   pace_ms=PACE_MS)
    memory = MemoryWatch(running.routers)
    memory.start()
    run_streams(others + [flood], WARM_UP_SECONDS, MEASURED_SECONDS)
    memory.stopping.set()
    print(f"flood of {urgency} urgency: {flood.tally.made} calls, {flood.tally.answered} answered, "
          f"{flood.tally.refused} not run, {flood.tally.failed} failed", flush=True)
    checks.at_least(f"service ratio of the other accounts during a flood of {urgency} urgency",
                    round(answered(others) / max(1, undisturbed), 3), MINIMUM_SERVICE_RATIO)
    checks.at_least("the flooding account gets the remaining capacity, calls answered", flood.tally.answered, 1)
    checks.at_most("memory growth of a router (KiB)", memory.gained, MEMORY_GROWTH_LIMIT_KIB)
    checks.equal("wrong answers", flood.tally.wrong + sum(stream.tally.wrong for stream in others), 0)
    time.sleep(2)


def main():
    checks = Checks("flood")
    accounts = [fleet.Account("flooder")] + [fleet.Account(f"other{number}") for number in range(OTHER_ACCOUNT_COUNT)]
    with fleet.Fleet(routers=2, engines=ENGINES, engine_slots=SLOTS, services=0, accounts=accounts,
                     strategy="static-slices") as running:
        undisturbed = other_streams(running, "alone")
        run_streams(undisturbed, WARM_UP_SECONDS, MEASURED_SECONDS)
        checks.at_least("answered without a flood", answered(undisturbed), 1)
        for urgency in ("low", "high"):
            check_flood(checks, running, urgency, answered(undisturbed))
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
