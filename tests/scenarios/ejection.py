"""Checks that failing endpoints are ejected, at most half of the pool at a time, and return to service after recovery."""

import sys
import threading
import time

import fleet
from checks import Checks

ENGINES = 4

# Calls that a router may send to a refusing endpoint before it ejects the endpoint, and again at each trial.
FAILURES_TO_EJECT = 3

# An ejected endpoint is tried again after 2, 4 and 8 s, so that the observation time has at most 2 trials.
OBSERVATION_SECONDS = 6
TRIALS = 2

# After an endpoint has recovered, its next trial comes at the latest after the current ejection time of at most 8 s; the
# trial call takes up to 1 s.
RECOVERY_BOUND_SECONDS = 9


class Callers(threading.Thread):
    """A caller that sends calls until it is stopped and records whether each was answered correctly."""

    def __init__(self, running):
        super().__init__(daemon=True)
        self.running = running
        self.outcomes = []
        self.stopping = threading.Event()

    def run(self):
        number = 0
        while not self.stopping.is_set():
            number += 1
            name = f"{self.name}-{number}"
            status, _, body = self.running.call(self.running.routers[0], self.running.accounts[0], "model", "/generate",
                                                f"id={name} tokens=2 ms=5")
            self.outcomes.append(status == 200 and body.endswith(f"end {name} 2\n".encode()))


def ejected(running):
    return sorted(row["endpoint"] for row in running.status(running.routers[0])["endpoints"] if row["ejected"])


def wait_until(condition, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


def calls_refused(running, index):
    return running.engine_counts()[index]["refused"]


def main():
    checks = Checks("ejection")
    with fleet.Fleet(routers=1, engines=ENGINES, engine_slots=4, services=0) as running:
        callers = [Callers(running) for _ in range(6)]
        for caller in callers:
            caller.start()
        running.engine_control(0, refuse="yes")
        checks.true("an endpoint that refuses calls is ejected within 2 s",
                    wait_until(lambda: ejected(running) == ["engine0"], 2))
        time.sleep(OBSERVATION_SECONDS)
        checks.at_most("calls sent to the refusing endpoint", calls_refused(running, 0),
                       FAILURES_TO_EJECT + TRIALS + len(callers))
        running.engine_control(0, refuse="no")
        checks.true("the endpoint is no longer ejected after it recovers",
                    wait_until(lambda: not ejected(running), RECOVERY_BOUND_SECONDS))

        running.engine_control(1, load="no")
        checks.true("an endpoint whose load probes fail is ejected", wait_until(lambda: "engine1" in ejected(running), 8))
        running.engine_control(1, load="yes")
        checks.true("the endpoint is no longer ejected once its load probes succeed",
                    wait_until(lambda: not ejected(running), RECOVERY_BOUND_SECONDS))

        for index in range(ENGINES - 1):
            running.engine_control(index, refuse="yes")
        wait_until(lambda: len(ejected(running)) >= ENGINES // 2, 5)
        time.sleep(1)
        checks.at_most("endpoints ejected when all but one fail", len(ejected(running)), ENGINES // 2)
        for index in range(ENGINES - 1):
            running.engine_control(index, refuse="no")
        checks.true("no endpoint is ejected after all have recovered",
                    wait_until(lambda: not ejected(running), 3 * RECOVERY_BOUND_SECONDS))
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join(10)
        made = sum(len(caller.outcomes) for caller in callers)
        checks.at_least("calls made", made, 100)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
