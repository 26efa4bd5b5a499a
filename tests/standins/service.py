#!/usr/bin/env python3
"""Stand-in for plain services whose calls must not be repeated: each port is one instance.

POST /order with the body `order=ID ms=T` runs for T ms, counts one run of ID and answers `order ID done`. GET /counts
returns the number of runs of each ID over all ports, the reference for at-most-once checks. GET /load reports the load.
POST /control?leaving=yes|no&drop-after-run=N&refuse=yes|no&late-ms=T changes the behaviour: drops the next N answers after
the order has run, refuses calls without running them, or delays answers by T ms.
"""

import argparse
import asyncio
import collections
import json
import time

from http_server import Response, parse_fields, serve

RUNS = collections.Counter()


class Service:
    def __init__(self, slots):
        self.slots = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.overload = 0
        self.busy_seconds = 0.0
        self.leaving = False
        self.refuse = False
        self.drop_after_run = 0
        self.answer_delay_seconds = 0.0
        self.started_at = []

    async def handle(self, request, _reader, _writer):
        if request.path == "/load":
            leaving = "yes" if self.leaving else "no"
            return Response(200, f"[load]\nrunning={self.running}\nwaiting={self.waiting}\nleaving={leaving}\n".encode())
        if request.path == "/counts":
            return Response(200, json.dumps({"runs": RUNS, "overload": self.overload, "busy_seconds": self.busy_seconds,
                                             "started_at": self.started_at[-2000:]}).encode())
        if request.path == "/control":
            return self.control(request.query)
        if self.refuse:
            return Response(503, b"refused\n", {"Not-Run": "yes"})
        return await self.run(parse_fields(request.body))

    def control(self, query):
        if "leaving" in query:
            self.leaving = query["leaving"] == "yes"
        if "refuse" in query:
            self.refuse = query["refuse"] == "yes"
        if "drop-after-run" in query:
            self.drop_after_run = int(query["drop-after-run"])
        if "late-ms" in query:
            self.answer_delay_seconds = float(query["late-ms"]) / 1000
        return Response(200, b"done\n")

    async def run(self, fields):
        order = fields.get("order", "x")
        self.started_at.append(time.time())
        self.waiting += 1
        if self.slots.locked():
            self.overload += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            began = time.monotonic()
            RUNS[order] += 1
            await asyncio.sleep(float(fields.get("ms", "50")) / 1000)
            self.running -= 1
            self.busy_seconds += time.monotonic() - began
        if self.drop_after_run > 0:
            self.drop_after_run -= 1
            raise ConnectionError("drop-after-run is set")
        await asyncio.sleep(self.answer_delay_seconds)
        return Response(200, f"order {order} done\n".encode(), {"Content-Type": "text/plain"})


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ports", required=True, help="comma-separated ports, one instance each")
    parser.add_argument("--slots", type=int, default=4)
    options = parser.parse_args()
    await asyncio.gather(*(serve(int(port), Service(options.slots).handle) for port in options.ports.split(",")))


if __name__ == "__main__":
    asyncio.run(main())
