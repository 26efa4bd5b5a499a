"""Checks that orders run at most once, and that orders reported as not run have not run, under faults: routers are killed,
paused and shut down, links are cut and held, services drop or delay answers, and callers disconnect. The reference is the
number of runs that the service stand-in counts.

The seed determines the kinds, targets and times of the faults and the choices of the load. How they interleave depends on
the machine.
"""

import argparse
import collections
import json
import pathlib
import random
import sys
import time
from dataclasses import dataclass, field

import fleet
from checks import Checks

DEADLINE_MS = 3000
ORDERS_PER_SECOND = 100
SETTLE_SECONDS = 5
# Tolerance for a reply that was in flight when its router went down and is recorded just outside of the down window.
WINDOW_SLACK_MS = 300


def now_ms():
    return time.time() * 1000


@dataclass
class Attempt:
    """One attempt of a caller to place its order, as recorded by the load program."""

    router: int
    outcome: str
    began: int
    ended: int


@dataclass
class Order:
    """One order with its final outcome."""

    name: str
    outcome: str
    is_contradictory: bool
    attempts: list = field(default_factory=list)

    @staticmethod
    def parse(line):
        name, outcome, *attempts = line.split()
        fields = (text.split(":") for text in attempts)
        return Order(name, outcome.rstrip("!"), outcome.endswith("!"),
                     [Attempt(int(router), outcome, int(began), int(ended)) for router, outcome, began, ended in fields])


class FaultInjector:
    """Injects one fault after another and undoes each after a random delay."""

    def __init__(self, running, seed):
        self.running = running
        self.random = random.Random(seed)
        self.down_windows = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.pending_repairs = []
        self.down_routers = set()
        self.exit_codes = []

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.run_due_repairs(time.monotonic())
            fault = self.random.choice([self.kill, self.freeze, self.shut_down, self.cut_peers, self.hold_peers, self.cut_service,
                                        self.hold_service, self.drop_answers, self.late_answers, self.refuse])
            fault()
            self.counts[fault.__name__] += 1
            time.sleep(self.random.uniform(0.2, 0.6))
        self.run_due_repairs(float("inf"))

    def run_due_repairs(self, now):
        due = [entry for entry in self.pending_repairs if entry[0] <= now]
        self.pending_repairs = [entry for entry in self.pending_repairs if entry[0] > now]
        for _, repair in due:
            repair()

    def schedule_repair(self, low, high, repair):
        self.pending_repairs.append((time.monotonic() + self.random.uniform(low, high), repair))

    def pick_router(self):
        """Picks a random router; returns None if it is down or if too few routers would stay up."""
        index = self.random.randrange(len(self.running.routers))
        if index in self.down_routers or len(self.down_routers) >= len(self.running.routers) - 2:
            return None
        return index

    def kill(self):
        index = self.pick_router()
        if index is None:
            return
        router, began = self.running.routers[index], now_ms()
        self.down_routers.add(index)
        self.running.kill(router)

        def restart():
            self.running.start_router(router)
            self.running.wait_ready(router)
            self.down_routers.discard(index)
            self.down_windows[index].append((began, now_ms()))
        self.schedule_repair(0.2, 1.0, restart)

    def freeze(self):
        index = self.pick_router()
        if index is None:
            return
        router, began = self.running.routers[index], now_ms()
        self.down_routers.add(index)
        self.running.freeze(router)

        def thaw():
            self.running.thaw(router)
            self.down_routers.discard(index)
            self.down_windows[index].append((began, now_ms()))
        self.schedule_repair(0.1, 4.5, thaw)

    def shut_down(self):
        index = self.pick_router()
        if index is None:
            return
        router, began = self.running.routers[index], now_ms()
        self.down_routers.add(index)
        self.running.terminate(router)

        def restart():
            self.exit_codes.append(router.process.wait(30))
            self.running.start_router(router)
            self.running.wait_ready(router)
            self.down_routers.discard(index)
            self.down_windows[index].append((began, now_ms()))
        self.schedule_repair(1.0, 3.0, restart)

    def disturb_link(self, source, target, mode, direction="both"):
        self.running.relay(from_=source, to=target, mode=mode, direction=direction)
        self.schedule_repair(0.3, 4.0, lambda: self.running.relay(from_=source, to=target, mode="pass"))

    def cut_peers(self):
        one, other = self.random.sample(self.running.routers, 2)
        self.disturb_link(one.address, other.relay_port, "cut")

    def hold_peers(self):
        one, other = self.random.sample(self.running.routers, 2)
        self.disturb_link(one.address, other.relay_port, "hold", self.random.choice(["both", "up", "down"]))

    def cut_service(self):
        router, port = self.random.choice(self.running.routers), self.random.choice(self.running.advertised_service_ports)
        self.disturb_link(router.address, port, "cut")

    def hold_service(self):
        router, port = self.random.choice(self.running.routers), self.random.choice(self.running.advertised_service_ports)
        self.disturb_link(router.address, port, "hold", self.random.choice(["up", "down"]))

    def disturb_service(self, low, high, change, restored):
        index = self.random.randrange(len(self.running.service_ports))
        self.running.service_control(index, **change)
        self.schedule_repair(low, high, lambda: self.running.service_control(index, **restored))

    def drop_answers(self):
        self.disturb_service(0.3, 1.0, {"drop_after_run": self.random.randint(1, 8)}, {"drop_after_run": 0})

    def late_answers(self):
        self.disturb_service(0.3, 1.5, {"late_ms": self.random.randint(200, 4000)}, {"late_ms": 0})

    def refuse(self):
        self.disturb_service(0.2, 0.8, {"refuse": "yes"}, {"refuse": "no"})

    def overlaps_down_window(self, attempt):
        """Returns whether the attempt's router was killed, paused or shut down during the attempt."""
        return any(began - WINDOW_SLACK_MS <= attempt.ended and attempt.began <= ended + WINDOW_SLACK_MS
                   for began, ended in self.down_windows[attempt.router])


def run_counts(running):
    return running.service_counts()[0]["runs"]


def wait_connected(running, router, timeout=20):
    """Waits until the router is connected to every other router."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        peers = running.status(router)["peers"]
        if len(peers) == len(running.routers) - 1 and all(peer["connected"] for peer in peers):
            return
        time.sleep(0.1)
    raise RuntimeError(f"{router.name} is not connected to its peers")


def freeze_all_threads(running, router):
    """Pauses a router and waits until all its threads are stopped, which can take a while on a busy machine."""
    running.freeze(router)
    tasks = pathlib.Path(f"/proc/{router.process.pid}/task")
    while any(stat.read_text().rpartition(")")[2].split()[0] != "T" for stat in tasks.glob("*/stat")):
        time.sleep(0.01)


def check_directed(running, checks):
    """Checks each case deterministically, before the random faults start."""
    owner, other, account = running.routers[0], running.routers[1], running.accounts[0]

    def place_order(router, ticket, order, deadline_ms=DEADLINE_MS):
        status, headers, body = running.call(router, account, "booking", "/order", f"order={order} ms=20",
                                             Kumquatbeam_Ticket=ticket, Kumquatbeam_Deadline_Ms=str(deadline_ms))
        return status, headers["Kumquatbeam-Outcome"], headers["Kumquatbeam-Failure"], body

    status, headers, _ = running.call(owner, account, "booking", "/order", "order=none ms=20")
    checks.equal("an order without a ticket is refused and not run",
                 (status, headers["Kumquatbeam-Outcome"], headers["Kumquatbeam-Failure"]), (428, "not-run", "ticket-required"))
    ticket = running.ticket(owner, account)
    checks.equal("an order is answered", place_order(owner, ticket, "d1"), (200, "answered", None, b"order d1 done\n"))
    checks.equal("a retry through another router gets the same answer", place_order(other, ticket, "d1"),
                 (200, "answered", None, b"order d1 done\n"))
    checks.equal("another order under the same ticket is refused", place_order(other, ticket, "d2")[1:3],
                 ("unknown", "ticket-reused"))

    ticket = running.ticket(owner, account)
    freeze_all_threads(running, owner)
    checks.equal("an order whose ticket owner is paused has an unknown outcome",
                 place_order(other, ticket, "d3", 1000)[1], "unknown")
    time.sleep(1)
    running.thaw(owner)
    wait_connected(running, owner)
    time.sleep(1)
    checks.equal("a ticket owner that resumes after the deadline sends no order", run_counts(running).get("d3", 0), 0)

    ticket = running.ticket(owner, account)
    running.kill(owner)
    checks.equal("an order whose ticket owner is down has an unknown outcome", place_order(other, ticket, "d4")[1], "unknown")
    running.start_router(owner)
    running.wait_ready(owner)
    checks.equal("an order of the ticket owner's earlier incarnation has an unknown outcome",
                 place_order(owner, ticket, "d4")[1:3],
                 ("unknown", "ticket-unknown"))
    runs = run_counts(running)
    checks.equal("the directed orders ran as often as expected",
                 {name: runs.get(name, 0) for name in ("none", "d1", "d2", "d3", "d4")},
                 {"none": 0, "d1": 1, "d2": 0, "d3": 0, "d4": 0})


def write_mix(running, accounts):
    text = ""
    for account in accounts:
        text += (f"[stream {account.name}]\naccount={account.name}\ncredential={account.credential}\npool=booking\n"
                 f"kind=booking\nper-minute={ORDERS_PER_SECOND * 60 // len(accounts)}\npace-ms=20\n"
                 f"deadline-ms={DEADLINE_MS}\nretries=4\nask-again-percent=20\nleave-percent=15\nleave-after-ms=60\n\n")
    path = running.folder / "mix.ini"
    path.write_text(text)
    return path


def run_load(running, seconds, seed, faults):
    """Runs the load and the faults concurrently; returns the orders."""
    orders = running.folder / "orders.txt"
    routers = ",".join(f"{router.address}:{router.caller_port}" for router in running.routers)
    load = running.spawn("load", [fleet.build_folder() / "apps" / "kumquatbeam-load", f"--routers={routers}",
                                  f"--mix={write_mix(running, running.accounts[:4])}", f"--seconds={seconds}",
                                  f"--seed={seed}", f"--orders={orders}"])
    faults.run(seconds)
    load.wait(120)
    for line in running.read_log("load").splitlines():
        print(line)
    return [Order.parse(line) for line in orders.read_text().splitlines()]


def check_orders(orders, runs, faults, checks):
    outcome_counts = collections.Counter(order.outcome for order in orders)
    attempts = [attempt for order in orders for attempt in order.attempts]
    unanswered = [attempt for attempt in attempts if attempt.outcome == "no-reply"]
    explained = [attempt for attempt in unanswered if faults.overlaps_down_window(attempt)]
    run_count = lambda order: runs.get(order.name, 0)
    print(f"orders {len(orders)}, by outcome {dict(outcome_counts)}, attempts {len(attempts)}, by outcome "
          f"{dict(collections.Counter(attempt.outcome for attempt in attempts))}, runs {sum(runs.values())}")
    print(f"faults {dict(faults.counts)}")
    print(f"unknown orders: {sum(1 for order in orders if order.outcome == 'unknown' and run_count(order))} ran, "
          f"{sum(1 for order in orders if order.outcome == 'unknown' and not run_count(order))} did not")
    print(f"attempts without a reply: {len(unanswered)}, of which {len(explained)} at a router while it was killed, paused "
          "or shut down")

    checks.equal("no order ran twice", [(name, count) for name, count in runs.items() if count > 1], [])
    checks.equal("no order that was reported as not run has run",
                 [order for order in orders if order.outcome == "not-run" and run_count(order)], [])
    checks.equal("every answered order ran once",
                 [order for order in orders if order.outcome == "answered" and run_count(order) != 1], [])
    checks.equal("no two replies to an order contradict each other", [order for order in orders if order.is_contradictory], [])
    checks.equal("every attempt got a reply, unless its router was killed, paused or shut down or its caller disconnected",
                 [attempt for attempt in unanswered if not faults.overlaps_down_window(attempt)], [])
    checks.true("some orders were answered, some had an unknown outcome, some were not run",
                all(outcome_counts[outcome] > 0 for outcome in ("answered", "unknown", "not-run")),
                str(dict(outcome_counts)))
    checks.at_least("most orders were answered", outcome_counts["answered"], len(orders) // 2)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=25)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1_000_000))
    options = parser.parse_args()
    print(f"seed {options.seed}", flush=True)
    checks = Checks("at most once")
    with fleet.Fleet(routers=5, engines=0, services=3, service_slots=8, relay=True) as running:
        for router in running.routers:
            wait_connected(running, router)
        check_directed(running, checks)
        faults = FaultInjector(running, options.seed)
        orders = run_load(running, options.seconds, options.seed, faults)
        time.sleep(SETTLE_SECONDS)
        checks.at_least("enough orders were placed", len(orders), options.seconds * ORDERS_PER_SECOND // 2)
        check_orders(orders, run_counts(running), faults, checks)
        checks.equal("every shutdown exited with code 0", [code for code in faults.exit_codes if code != 0], [])
        checks.equal("no router exited unexpectedly",
                     [router.name for router in running.routers if router.process.poll() is not None], [])
        for line in running.read_log("load").splitlines():
            checks.equal("no answer was wrong", json.loads(line)["wrong"], 0)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
