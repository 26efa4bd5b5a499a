"""Checks that a router whose event loop is often late lets answers run until their callers' deadlines.

Guards against a failure that was reported (LOST): streams on overloaded routers were closed midway seconds before their deadline.
The router is stopped and continued in short turns, as a small share of a processor does under load.
"""

import signal
import sys
import threading
import time

import platform_fleet
from checks import Checks
from platform_fleet import Caller

# Each stop is longer than the router takes for a pause, and the next one comes before its effect has passed.
STOP_SECONDS = 0.2
RUN_SECONDS = 0.3

# Stops before the first call, so that the router has been late for as long as it takes requests to have waited at most.
LEAD_SECONDS = 3

# A stream of 3 s for a caller that waits 4.5 s.
EVENTS = 30
EVENT_PAUSE_MS = 100
DEADLINE_MS = 4500

# A short read for a caller that waits 1.5 s.
READ_DEADLINE_MS = 1500
CALLS = 5
TRIES = 40


class LateLoop(threading.Thread):
    """Stops and continues a process in turns until it is asked to end."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.process = process
        self.ending = threading.Event()

    def run(self):
        while not self.ending.wait(RUN_SECONDS):
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(STOP_SECONDS)
            self.process.send_signal(signal.SIGCONT)

    def end(self):
        self.ending.set()
        self.join()


def call_until_accepted(router, name, path, **options):
    """Calls again after a refusal. Returns the status, or what went wrong."""
    for attempt in range(TRIES):
        caller = Caller(router)
        try:
            status, _, body = caller.call(f"{name}-{attempt}", path, **options)
        finally:
            caller.close()
        if status != 503:
            return status if body is not None else "cut midway"
        time.sleep(0.05)
    return "refused"


def main():
    checks = Checks("late event loop")
    with platform_fleet.PlatformFleet(routers=1) as running:
        router = running.routers[0]
        late = LateLoop(router.process)
        late.start()
        time.sleep(LEAD_SECONDS)
        for number in range(CALLS):
            status = call_until_accepted(router, f"stream{number}", "/quote/1", deadline_ms=DEADLINE_MS, X_Events=EVENTS,
                                         X_Pause_Ms=EVENT_PAUSE_MS)
            checks.equal(f"stream {number} of 3 s is whole for a caller that waits 4.5 s", status, 200)
            status = call_until_accepted(router, f"read{number}", "/lookup/1", deadline_ms=READ_DEADLINE_MS)
            checks.equal(f"read {number} is answered for a caller that waits 1.5 s", status, 200)
        late.end()
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
