"""Checks that two entry routers stop sending to an evacuated failure domain in time, that what runs there continues, and
that the domain is used again afterwards."""

import sys
import time

import platform_fleet
from checks import Checks
from platform_fleet import Caller, in_background

# Time from the store's acknowledgement of an evacuation to the last request that may be sent to the domain.
EVACUATION_SECONDS = 5

EVACUATED = ("engine0", "plain0")


class EvacuationFleet(platform_fleet.PlatformFleet):
    def announce(self, name, state="ready", **changes):
        super().announce(name, state, **{"zone": "sohar" if name in EVACUATED else "saham", **changes})

    def settings_of(self, router):
        bounds = f"[bounds]\nevacuation_ms = {EVACUATION_SECONDS * 1000}\ncold_overshoot = 1.5\ncold_slack = 5"
        return super().settings_of(router).replace("[bounds]", bounds)

    def wait_for_log(self, text):
        """Returns how long it takes until every router has logged the text, or None after the bound."""
        start = time.monotonic()
        while time.monotonic() < start + EVACUATION_SECONDS:
            if all(text in self.read_log(router.name) for router in self.routers):
                return time.monotonic() - start
            time.sleep(0.05)
        return None


def stream_fields(number, **more):
    """Header fields of a stream whose prompt is its own, so that streams are spread over the engines."""
    return {"Model": "m", "Token_Counts": "1000,50", "Prompt_Prefix": f"a{number:x}:800,b{number:x}:200", **more}


def call_all(running, name, count=12):
    """Sends calls of each kind through every router; returns the statuses."""
    statuses = []
    for router in running.routers:
        caller = Caller(router)
        for number in range(count):
            for path, fields in (("/lookup/1", {}), ("/order/1", {}), ("/quote/1", stream_fields(number, X_Events=2))):
                statuses.append(caller.call(f"{name}-{router.name}-{number}-{path[1]}", path, **fields)[0])
    return statuses


def arrivals_in_domain(running, name):
    return [arrival["id"] for worker in EVACUATED for arrival in running.worker_record(worker)["arrivals"]
            if arrival["id"].startswith(name + "-")]


def main():
    checks = Checks("evacuation")
    with EvacuationFleet() as running:
        call_all(running, "before")
        checks.true("the domain is used before the evacuation", arrivals_in_domain(running, "before"))
        streams = [in_background(lambda number=number: Caller(running.routers[0]).call(
            f"running-{number}", "/quote/1", **stream_fields(number, X_Events=80, X_Pause_Ms=50))) for number in range(9)]
        time.sleep(0.5)
        started = arrivals_in_domain(running, "running")
        checks.true("streams run in the domain", started)

        running.store("put", b"{}", key="op/evacuate/sohar")
        delay = running.wait_for_log("directory: evacuated domain=sohar")
        checks.true("every router knows of the evacuation within the bound", delay is not None, delay)
        checks.equal("callers are served during the evacuation", set(call_all(running, "during")), {200})
        checks.equal("no request reaches the domain", arrivals_in_domain(running, "during"), [])
        results = [stream() for stream in streams]
        checks.true("what runs in the domain continues",
                    all(result and result[0] == 200 and result[2] for result in results))

        running.store("put", b"", key="op/evacuate/saham")
        running.wait_for_log("directory: evacuated domain=saham")
        status, fields, _ = Caller(running.routers[0]).call("nowhere", "/lookup/1")
        checks.true("a call is refused with a time to retry if all domains are evacuated",
                    status == 503 and 0 < float(fields["Retry-After"]) <= 8 / 3, (status, fields["Retry-After"]))
        checks.equal("a refused call reaches no worker", running.arrivals_of("nowhere"), [])
        checks.true("the routers stay ready", all(running.is_ready(router) for router in running.routers))

        running.store("delete", key="op/evacuate/saham")
        running.store("delete", key="op/evacuate/sohar")
        delay = running.wait_for_log("directory: evacuation-ended domain=sohar")
        checks.true("every router knows of the end", delay is not None, delay)
        checks.equal("callers are served after the evacuation", set(call_all(running, "after")), {200})
        checks.true("the domain is used again", arrivals_in_domain(running, "after"))
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
