"""Failing endpoints are ejected, at most half of the pool, and come back by themselves."""

import sys
import threading
import time

import fleet
from checks import Checks

ENGINES = 4

# Calls that a router may give a refusing endpoint before it ejects it, and again at each trial.
FAILURES_TO_EJECT = 3

# The failing endpoint is tried again after 2, 4, 8 s. In the time that the scenario watches it that is at most:
OBSERVATION_SECONDS = 6
TRIALS = 2

# After an endpoint has mended, the longest wait for its trial is the ejection time reached so far, and a second for
# the trial call itself.
RECOVERY_BOUND_SECONDS = 9


class Callers(threading.Thread):
    """Callers that keep calling until told to stop, and what they got."""

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
        checks.at_most("calls that it was given meanwhile", calls_refused(running, 0),
                       FAILURES_TO_EJECT + TRIALS + len(callers))
        running.engine_control(0, refuse="no")
        checks.true("it comes back by itself", wait_until(lambda: not ejected(running), RECOVERY_BOUND_SECONDS))

        running.engine_control(1, load="no")
        checks.true("an endpoint whose load probes fail is ejected", wait_until(lambda: "engine1" in ejected(running), 8))
        running.engine_control(1, load="yes")
        checks.true("and comes back too", wait_until(lambda: not ejected(running), RECOVERY_BOUND_SECONDS))

        for index in range(ENGINES - 1):
            running.engine_control(index, refuse="yes")
        wait_until(lambda: len(ejected(running)) >= ENGINES // 2, 5)
        time.sleep(1)
        checks.at_most("endpoints ejected when all but one fail", len(ejected(running)), ENGINES // 2)
        for index in range(ENGINES - 1):
            running.engine_control(index, refuse="no")
        checks.true("all come back", wait_until(lambda: not ejected(running), 3 * RECOVERY_BOUND_SECONDS))
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join(10)
        made = sum(len(caller.outcomes) for caller in callers)
        checks.at_least("calls made", made, 100)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
