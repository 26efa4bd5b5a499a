"""Checks that goodput at three times the fleet's capacity, with callers that retry, stays close to goodput at capacity."""

import sys

import fleet
from checks import Checks
from open_loop import Stream, run_streams

ENGINES, SLOTS = 2, 4
TOKENS, PACE_MS = 10, 40
CAPACITY = ENGINES * SLOTS / (TOKENS * PACE_MS / 1000)
WARM_UP_SECONDS, MEASURED_SECONDS = 4, 8
RETRIES = 3

# Goodput at three times the capacity may be one twentieth lower than goodput at capacity.
MINIMUM_GOODPUT_RATIO = 0.95

# Retries that a router may send for a pool while no call is answered.
RETRY_BURST = 32


def goodput(running, name, load):
    """Runs a stream at `load` times the capacity; its tally has the answered calls."""
    stream = Stream(running, running.accounts[0], name, load * CAPACITY, deadline_ms=2000, retries=RETRIES, tokens=TOKENS,
                    pace_ms=PACE_MS)
    run_streams([stream], WARM_UP_SECONDS, MEASURED_SECONDS)
    print(f"load x {load}: {stream.tally.made} tries, {stream.tally.answered} answered, {stream.tally.refused} not run, "
          f"{stream.tally.failed} failed, {stream.tally.wrong} wrong", flush=True)
    return stream


def check_retry_budget(checks, running):
    """Checks that each router sends only a burst of retries while all endpoints refuse calls."""
    refused = lambda: sum(counts["refused"] for counts in running.engine_counts())
    before = refused()
    for index in range(ENGINES):
        running.engine_control(index, refuse="yes")
    calls = 200
    for number in range(calls):
        router = running.routers[number % len(running.routers)]
        running.call(router, running.accounts[0], "model", "/generate", f"id=refused{number} tokens=1 ms=1")
    checks.at_most("attempts at refusing endpoints", refused() - before, calls + RETRY_BURST * len(running.routers))
    for index in range(ENGINES):
        running.engine_control(index, refuse="no")


def main():
    checks = Checks("retry storm")
    with fleet.Fleet(routers=2, engines=ENGINES, engine_slots=SLOTS, services=0, strategy="static-slices") as running:
        at_capacity = goodput(running, "once", 1)
        overloaded = goodput(running, "thrice", 3)
        checks.at_least("calls answered at capacity", at_capacity.tally.answered, 1)
        checks.at_least("goodput at three times the capacity, as a ratio of goodput at capacity",
                        round(overloaded.tally.answered / max(1, at_capacity.tally.answered), 3), MINIMUM_GOODPUT_RATIO)
        checks.equal("wrong answers", at_capacity.tally.wrong + overloaded.tally.wrong, 0)
        check_retry_budget(checks, running)
        checks.at_least("refusals with Retry-After", len(overloaded.tally.retry_after), 1)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
