"""A long randomised run over real processes: kills, pauses, cut and held links and platform outages, in an order drawn from
a seed, under a load of streams and orders. The routers assert their invariants; a violation ends the router, which this run
detects. Checks at the end that no answer was wrong, no order ran twice, no router exited unexpectedly, and all routers serve
calls.
"""

import argparse
import random
import sys
import threading
import time

import demo
import fleet
from checks import Checks

SETTLE_SECONDS = 8


class FaultInjector:
    """Injects random faults one after another and undoes each after a random time."""

    def __init__(self, running, rng):
        self.running = running
        self.rng = rng
        self.unexpected_exits = []
        self.counts = {}

    def step(self):
        kind = self.rng.choice(["kill", "freeze", "cut", "hold", "platform"])
        self.counts[kind] = self.counts.get(kind, 0) + 1
        router = self.rng.choice(self.running.routers)
        duration = self.rng.uniform(0.5, 3.0)
        print(f"fault: {kind} {router.name} for {duration:.1f} s", flush=True)
        getattr(self, kind)(router, duration)
        self.restart_exited_routers()

    def restart_exited_routers(self):
        for router in self.running.routers:
            code = router.process.poll()
            if code is not None:
                self.unexpected_exits.append((router.name, code))
                self.running.start_router(router)

    def kill(self, router, duration):
        self.restart_exited_routers()
        self.running.kill(router)
        time.sleep(duration)
        self.running.start_router(router)

    def freeze(self, router, duration):
        self.running.freeze(router)
        time.sleep(duration)
        self.running.thaw(router)

    def cut(self, router, duration):
        self.running.relay(mode="cut", from_=router.address)
        self.running.relay(mode="cut", to=router.relay_port)
        time.sleep(duration)
        self.running.relay(mode="pass")

    def hold(self, router, duration):
        self.running.relay(mode="hold", to=router.relay_port)
        time.sleep(duration)
        self.running.relay(mode="pass")

    def platform(self, _router, duration):
        self.running.platform_mode(down="yes")
        time.sleep(duration)
        self.running.platform_mode(down="no")


def load_mix(accounts):
    text = ""
    for index, account in enumerate(accounts):
        text += demo.stream(account, f"{account.name}-models", routers=str(index % 5), outstanding=2)
        text += demo.stream(account, f"{account.name}-orders", pool="booking", kind="booking", outstanding=1, pace=20)
    return text


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    options = parser.parse_args()
    print(f"seed: {options.seed}", flush=True)
    checks = Checks("randomised")
    with fleet.Fleet(relay=True, log_level="warning") as running:
        reports = []
        load = threading.Thread(target=lambda: reports.extend(
            demo.run_load(running, load_mix(running.accounts), options.seconds + SETTLE_SECONDS, options.seed)))
        load.start()
        faults = FaultInjector(running, random.Random(options.seed))
        end = time.monotonic() + options.seconds
        while time.monotonic() < end:
            faults.step()
            time.sleep(0.5)
        load.join()
        faults.restart_exited_routers()
        print(f"faults: {faults.counts}")
        total = {key: sum(report[key] for report in reports)
                 for key in ("sent", "answered", "wrong", "not_run", "unknown", "no_reply")}
        print(f"calls: {total}")
        checks.equal("no router exited unexpectedly", faults.unexpected_exits, [])
        checks.equal("no answered call has a wrong body", total["wrong"], 0)
        runs = {}
        for counts in running.service_counts():
            runs.update(counts["runs"])
        checks.equal("no order ran twice", {order: count for order, count in runs.items() if count > 1}, {})
        checks.at_least("orders ran", len(runs), 1)
        for router in running.routers:
            running.wait_ready(router)
            status, _, body = running.call(router, running.accounts[0], "model", "/generate", "id=z tokens=2 ms=5")
            checks.equal(f"{router.name} serves again", (status, body), (200, b"z:0 z:1 end z 2\n"))
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
