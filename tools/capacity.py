#!/usr/bin/env python3
"""Measures how the resource usage of a router process grows with one size. The router runs with stand-ins on loopback.

python3 tools/capacity.py [SERIES...] prints the points of each series and the least-squares line through them: the
router's processor time (user and system, /proc/PID/stat), its resident memory (/proc/PID/status) and its control traffic
(/status, with 40 B of TCP/IP header for each frame). Other processes on the machine can distort single points; use the
slopes.
"""

import json
import os
import subprocess
import sys
import time

import fleet

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FRAME_HEADER_BYTES = 40
SETTLE_SECONDS = 2.0
WINDOW_SECONDS = 6.0


def processor_seconds(process):
    fields = open(f"/proc/{process.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(process):
    for line in open(f"/proc/{process.pid}/status"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


class UsageWindow:
    """Resource usage of one router between the end of the settling time and the call of `end()`."""

    def __init__(self, running):
        self.running, self.router = running, running.routers[0]
        time.sleep(SETTLE_SECONDS)
        self.started = time.monotonic()
        self.processor_at_start = processor_seconds(self.router.process)
        self.control_bytes_at_start = self.control_bytes()

    def control_bytes(self):
        status = self.running.status(self.router)
        return status["control_bytes_sent"] + FRAME_HEADER_BYTES * status["control_frames_sent"]

    def end(self):
        seconds = time.monotonic() - self.started
        return {"cores": (processor_seconds(self.router.process) - self.processor_at_start) / seconds,
                "resident": resident_bytes(self.router.process),
                "control_bytes_a_second": (self.control_bytes() - self.control_bytes_at_start) / seconds}


def measure_idle(**options):
    with fleet.Fleet(services=0, log_level="error", **options) as running:
        window = UsageWindow(running)
        time.sleep(WINDOW_SECONDS)
        return window.end()


def by_endpoints():
    return {count: measure_idle(routers=1, engines=count) for count in (10, 60, 180)}


def by_peers():
    return {count - 1: measure_idle(routers=count, engines=1) for count in (2, 4, 8, 12)}


def by_accounts():
    return {count: measure_idle(routers=1, engines=1, accounts=[fleet.Account(f"a{index}") for index in range(count)])
            for count in (100, 1500, 3500, 6000)}


def measure_document_changes(accounts, changes):
    accounts = [fleet.Account(f"a{index}") for index in range(accounts)]
    with fleet.Fleet(routers=1, engines=1, services=0, accounts=accounts, log_level="error") as running:
        window = UsageWindow(running)
        for _ in range(changes):
            running.publish_document()
            time.sleep(WINDOW_SECONDS / changes)
        return window.end()


def by_changes():
    """Changes per second of a document with 3,500 accounts."""
    return {changes / WINDOW_SECONDS: measure_document_changes(3500, changes) for changes in (3, 6, 12)}


def measure_under_load(mix, engines=8, engine_slots=100):
    accounts = [fleet.Account("load", queue_limit=5000)]
    with fleet.Fleet(routers=1, engines=engines, engine_slots=engine_slots, services=0, accounts=accounts,
                     log_level="error") as running:
        path = running.folder / "mix.ini"
        path.write_text(f"[stream load]\naccount=load\ncredential={accounts[0].credential}\npool=model\n{mix}")
        router = running.routers[0]
        seconds = int(SETTLE_SECONDS + WINDOW_SECONDS + 1)
        load = subprocess.Popen([fleet.build_folder() / "apps" / "kumquatbeam-load", f"--mix={path}",
                                 f"--routers={router.address}:{router.caller_port}", f"--seconds={seconds}"],
                                stdout=subprocess.PIPE)
        window = UsageWindow(running)
        time.sleep(WINDOW_SECONDS)
        usage = window.end()
        counts = load.communicate(timeout=120)[0].decode().splitlines()
        print("   load:", *counts, file=sys.stderr)
        return usage


def by_requests():
    """Requests per second, each with 10 tokens, 20 ms apart."""
    return {rate: measure_under_load(f"per-minute={rate * 60}\ntokens-low=10\ntokens-high=10\npace-ms=20\n")
            for rate in (20, 60, 180)}


def by_streams():
    """Open streams with 62 ms between tokens."""
    return {count: measure_under_load(f"outstanding={count}\ntokens-low=80\ntokens-high=80\npace-ms=62\n")
            for count in (50, 200, 600)}


SERIES = {"endpoints": by_endpoints, "peers": by_peers, "accounts": by_accounts, "changes": by_changes,
          "requests": by_requests, "streams": by_streams}


def fit_line(points):
    """Returns base and slope of the least-squares line."""
    count, sizes, costs = len(points), [size for size, _ in points], [cost for _, cost in points]
    mean_size, mean_cost = sum(sizes) / count, sum(costs) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((size - mean_size) * (cost - mean_cost) for size, cost in points) / spread
    return mean_cost - slope * mean_size, slope


def main():
    for name in sys.argv[1:] or SERIES:
        points = SERIES[name]()
        for size, usage in points.items():
            print(name, f"{size:g}", json.dumps({key: round(value, 5) for key, value in usage.items()}), flush=True)
        for key in next(iter(points.values())):
            base, slope = fit_line([(size, usage[key]) for size, usage in points.items()])
            print(f"{name}: {key} = {base:.5g} + {slope:.5g} for each", flush=True)


if __name__ == "__main__":
    sys.exit(main())
