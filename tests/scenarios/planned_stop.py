"""Checks a planned stop of a router in calm: each caller whose request was read gets a whole answer, and a true one, before the
process ends, also those whose requests come late in the grace period. The grace period is the one in force at SIGTERM."""

import subprocess
import sys
import time

import platform_fleet
from checks import Checks
from platform_fleet import Caller, in_background

GRACE_SECONDS = 8
# Time after SIGTERM within which requests are still passed on.
NOTICE_SECONDS = 2.9
# A request of this length that comes at the end of the notice cannot be finished in the grace period.
LONG_PAUSE_MS = 5200
# Longer than the grace period.
UNFINISHED_PAUSE_MS = 12000
# A grace period that the settings get while the router runs, and an order that only this one is long enough for.
LONGER_GRACE_SECONDS = 12
LONGER_PAUSE_MS = 9000
TRUE_WHEN_UNKNOWN = (502, 504)
NOT_RUN = 503


class PlannedStop(platform_fleet.PlatformFleet):
    """A fleet with routes whose requests may last longer than the grace period."""

    def __init__(self):
        super().__init__()
        common = {"host": platform_fleet.HOST, "timeout_ms": 20000, "target_latency_ms": 600, "priority": 1,
                  "maximum_attempts": 2, "public": False}
        self.grace_seconds = GRACE_SECONDS
        self.extra_routes = [
            {"name": "slow", "path_prefix": "/slow/", "kind": "non_idempotent", "service": "book", **common},
            {"name": "long", "path_prefix": "/long/", "kind": "non_idempotent", "service": "book", **common},
            {"name": "read", "path_prefix": "/read/", "kind": "idempotent", "service": "book", **common}]

    def settings_of(self, router):
        return super().settings_of(router).replace("grace_period_s = 8", f"grace_period_s = {self.grace_seconds}")


def timed_call(router, name, path, **fields):
    """Returns status and body of a call, and when it ended."""
    try:
        status, _, body = Caller(router, timeout=25).call(name, path, deadline_ms=20000, **fields)
    except OSError as error:
        status, body = repr(error), None
    return status, body, time.monotonic()


def check_stop(checks, running, router):
    # The router learns how long such an order takes.
    timed_call(router, "known", "/long/1", X_Pause_Ms=LONG_PAUSE_MS)
    kept = Caller(router)
    kept.call("kept-first", "/order/1")
    before = {name: in_background(lambda name=name, path=path, fields=fields: timed_call(router, name, path, **fields))
              for name, path, fields in (
                  ("order-before", "/slow/1", {"X_Pause_Ms": UNFINISHED_PAUSE_MS}),
                  ("read-before", "/read/1", {"X_Pause_Ms": UNFINISHED_PAUSE_MS}),
                  ("silent-before", "/slow/1", {"X_Fault": "mute"}),
                  ("stream-before", "/quote/1", {"X_Events": 100, "X_Pause_Ms": 200}))}
    time.sleep(0.3)
    running.terminate(router)
    stopped_at = time.monotonic()
    time.sleep(0.7)
    in_time = in_background(lambda: timed_call(router, "in-time", "/long/1", X_Pause_Ms=LONG_PAUSE_MS))
    time.sleep(max(0.0, stopped_at + NOTICE_SECONDS - 0.3 - time.monotonic()))
    cannot_finish = timed_call(router, "cannot-finish", "/long/1", X_Pause_Ms=LONG_PAUSE_MS)
    short = timed_call(router, "short", "/order/1")
    unforeseen = in_background(lambda: timed_call(router, "unforeseen", "/slow/1", X_Pause_Ms=UNFINISHED_PAUSE_MS))
    time.sleep(max(0.0, stopped_at + NOTICE_SECONDS + 0.3 - time.monotonic()))
    late = [timed_call(router, f"late{number}", "/order/1")[0] for number in range(2)]
    try:
        late_kept = kept.call("late-kept", "/order/1")[0]
    except OSError as error:
        late_kept = repr(error)
    outcomes = {name: call() for name, call in before.items()}
    outcomes["unforeseen"] = unforeseen()
    try:
        code = router.process.wait(max(0.1, stopped_at + GRACE_SECONDS - time.monotonic()))
    except subprocess.TimeoutExpired:
        code = "still running"
    checks.equal("the process ends within the grace period, with code 0", code, 0)
    for name in ("order-before", "read-before", "silent-before", "unforeseen"):
        status, body, ended_at = outcomes[name]
        checks.true(f"{name}: a whole answer that says that the outcome is unknown", status in TRUE_WHEN_UNKNOWN and body,
                    (status, body))
        checks.true(f"{name}: not before the last sixth of the grace period, and before its end",
                    stopped_at + GRACE_SECONDS * 5 / 6 < ended_at < stopped_at + GRACE_SECONDS,
                    f"{ended_at - stopped_at:.2f} s")
    status, body, _ = outcomes["stream-before"]
    checks.equal("a stream that cannot be finished is recognisable as truncated", (status, body), (200, None))
    checks.equal("an order that can be finished is passed on and answered", in_time()[0], 200)
    checks.equal("a short order at the end of the notice is answered", short[0], 200)
    checks.equal("an order that cannot be finished is refused", cannot_finish[0], NOT_RUN)
    checks.equal("it reaches no worker", running.arrivals_of("cannot-finish"), [])
    checks.true("new connections after the notice are not accepted", all(isinstance(status, str) for status in late), late)
    checks.true("a late request on a kept connection is refused", late_kept == NOT_RUN, late_kept)
    for name in ("late0", "late1", "late-kept"):
        checks.equal(f"{name} reaches no worker", running.arrivals_of(name), [])


def check_reloaded_grace_period(checks, running, router):
    running.grace_seconds = LONGER_GRACE_SECONDS
    (running.folder / f"{router.name}.toml").write_text(running.settings_of(router))
    running.reload(router)
    time.sleep(0.5)
    checks.true("the log reports the reload", "settings: reloaded" in running.read_log(router.name))
    order = in_background(lambda: timed_call(router, "after-reload", "/slow/1", X_Pause_Ms=LONGER_PAUSE_MS))
    time.sleep(0.3)
    running.terminate(router)
    stopped_at = time.monotonic()
    status, _, ended_at = order()
    checks.equal("an order that the reloaded grace period is long enough for is answered", status, 200)
    checks.true("it ended after the earlier grace period", ended_at > stopped_at + GRACE_SECONDS,
                f"{ended_at - stopped_at:.2f} s")
    try:
        code = router.process.wait(max(0.1, stopped_at + LONGER_GRACE_SECONDS - time.monotonic()))
    except subprocess.TimeoutExpired:
        code = "still running"
    checks.equal("the process ends within the reloaded grace period, with code 0", code, 0)


def main():
    checks = Checks("planned stop")
    with PlannedStop() as running:
        router, other = running.routers
        check_stop(checks, running, router)
        checks.equal("the other router keeps serving", Caller(other).call("other", "/lookup/1")[0], 200)
        check_reloaded_grace_period(checks, running, other)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
