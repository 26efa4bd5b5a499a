"""DRAIN: a worker that left just after a cut from the store has healed is used for too long."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
from caller import Caller  # noqa: E402
from link import Link  # noqa: E402

import fleet  # noqa: E402

ROUTERS, CUT_ROUTERS = 5, 2
CYCLES = 14
CUT_SECONDS = 3.0
LEAVES_AFTER_SECONDS = 0.05
STABILITY_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CYCLE_END_SECONDS = 3.5
SETTLE_SECONDS = 0.5
CALLERS = 4
ORDER_WORK_MS = 15


class Deployment(deployment.Deployment):
    def __init__(self, *arguments, **counts):
        super().__init__(*arguments, **counts)
        self.links = {router.name: Link(port, self.store_port)
                      for router, port in zip(self.routers, fleet.free_ports(len(self.routers)))}

    def store_port_of(self, router):
        return self.links[router.name].port

    def start(self):
        """Started by `play`, since the links need the event loop."""


class Load:
    """Clients that place orders at one router until they are stopped."""

    def __init__(self, running, record, router, sent_at):
        self.running, self.record, self.router, self.sent_at = running, record, router, sent_at
        self.is_stopped = False

    async def place_orders(self, name):
        caller = Caller(self.router)
        count = 0
        while not self.is_stopped:
            request_id = f"{name}-{count}"
            count += 1
            self.sent_at[request_id] = time.monotonic()
            try:
                answer = await caller.call(request_id, "/spoke-order/1", 2500, body=b"x", X_Pause_Ms=ORDER_WORK_MS)
                outcome = answer.status
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                outcome = repr(error)
                await asyncio.sleep(0.1)
            self.record.line(f"{request_id} at {self.router.name}: {outcome}")
        caller.close()


async def play_cycle(running, record, number, born, sent_at):
    """Cuts two routers from the store, and has one worker leave just after the cut has healed. Returns the name of the
    worker, and when it left and the cut healed."""
    routers = [running.routers[(number * CUT_ROUTERS + offset) % ROUTERS] for offset in range(CUT_ROUTERS)]
    worker = f"plain{number % 3}"
    loads = [Load(running, record, router, sent_at) for router in routers]
    links = [running.links[router.name] for router in routers]
    if deployment.TROUBLE:
        for link in links:
            link.cut()
        record.line(f"cut from the store: {[router.name for router in routers]}")
    await asyncio.sleep(CUT_SECONDS)
    for link in links:
        link.heal()
    healed_at = time.monotonic()
    record.line("the cut has healed")
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    await asyncio.to_thread(running.withdraw, worker)
    left_at = time.monotonic()
    record.line(f"the entry of {worker} is removed; it serves on")
    tasks = [asyncio.ensure_future(load.place_orders(f"order-{number}-{index}-{caller}"))
             for index, load in enumerate(loads) for caller in range(CALLERS)]
    await asyncio.sleep(healed_at + CYCLE_END_SECONDS - time.monotonic())
    for load in loads:
        load.is_stopped = True
    await asyncio.gather(*tasks)
    born[worker] += 1
    await asyncio.to_thread(lambda: running.announce(worker, born=born[worker]))
    record.line(f"{worker} is back")
    await asyncio.sleep(SETTLE_SECONDS)
    return worker, left_at, healed_at


async def play(running, record):
    for link in running.links.values():
        await link.start()
    await asyncio.to_thread(deployment.Deployment.start, running)
    born = {name: 1 for name in running.workers}
    sent_at, cycles = {}, []
    await asyncio.sleep(SETTLE_SECONDS)
    for number in range(CYCLES):
        cycles.append(await play_cycle(running, record, number, born, sent_at))
    arrivals = {name: await asyncio.to_thread(running.worker_record, name) for name in running.workers}
    return cycles, sent_at, arrivals


def case():
    record = deployment.Record(FOLDER)
    worker = deployment.ROOT / "tests" / "standins" / "platform_worker.py"
    with Deployment(worker, routers=ROUTERS, engines=1, plain_workers=3) as running:
        cycles, sent_at, arrivals = asyncio.run(play(running, record))
    late = []
    for number, (worker, left_at, healed_at) in enumerate(cycles):
        in_touch_from = healed_at + STABILITY_SECONDS if deployment.TROUBLE else left_at
        for arrival in arrivals[worker]["arrivals"]:
            # Only requests that the router took while it was in touch again.
            if not arrival["id"].startswith(f"order-{number}-") or sent_at[arrival["id"]] < in_touch_from:
                continue
            if arrival["at"] > left_at + DRAIN_SECONDS:
                late.append(arrival["id"])
                record.line(f"BROKEN: {arrival['id']} reached {worker} {arrival['at'] - left_at:.3f} s after its entry was "
                            f"removed, {arrival['at'] - healed_at:.3f} s after the cut had healed")
    summary = f"orders {len(sent_at)}, cycles {len(cycles)}, late at a worker that had left {len(late)}"
    record.line(summary)
    print(summary)
    return deployment.BROKEN if late else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run(case))
