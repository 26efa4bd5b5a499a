#!/usr/bin/env python3
"""Stand-in for model engines that batch continuously: each port is one engine.

POST /generate with the body `id=X tokens=N ms=T` streams N tokens, T ms apart; each token is `X:i ` and the answer ends
with `end X N`. Resume-At cuts off the bytes that the caller has. A closed connection cancels. GET /load reports running
and waiting calls, late. A resumed answer is confirmed by Resumed-At. `pad=BYTES` makes each token longer. POST
/control?leaving=yes|no&break-after=TOKENS&refuse=yes|no&answer=FORM&load=yes|no changes behaviour; FORM is `whole` or a
way to answer wrongly:

cut-length      states a Content-Length and closes before it is reached
no-length       states no length and closes half-way
bad-chunk       breaks the chunked framing in the middle
garbage         adds bytes after the whole answer
twice           sends the whole answer twice
interim         sends interim heads (1xx) before the whole answer
close           closes without an answer
early           answers before it is asked, with the answer to another call
ignore-resume   starts a resumed answer from the beginning and does not confirm it
POST /order?kind=... with a Fencing-Number is refused when checking is on and the number is old.
"""

import argparse
import asyncio
import json
import time

from http_server import Response, parse_fields, serve, start_chunked, write_chunk


class Engine:
    def __init__(self, slots, report_lag, checks_fencing):
        self.slots = asyncio.Semaphore(slots)
        self.report_lag = report_lag
        self.checks_fencing = checks_fencing
        self.running = 0
        self.waiting = 0
        self.started = 0
        self.cancelled = 0
        self.overload = 0
        self.busy_seconds = 0.0
        self.first_seen = []
        self.reported = (0.0, 0, 0)
        self.leaving = False
        self.refuse = False
        self.refused = 0
        self.break_after = None
        self.answer = "whole"
        self.reports_load = True
        self.resumed = 0
        self.deadlines = []
        self.fencing = 0
        self.orders = []

    async def handle(self, request, reader, writer):
        if request.path == "/load":
            return self.load()
        if request.path == "/control":
            return self.control(request.query)
        if request.path == "/counts":
            return self.counts()
        if request.path == "/order":
            return self.order(request)
        if self.refuse:
            self.refused += 1
            return Response(503, b"refused\n", {"Not-Run": "yes"})
        await self.generate(request, reader, writer)
        return None

    def greeting(self):
        """What is written to a connection before its request has come."""
        if self.answer != "early":
            return b""
        return b"HTTP/1.1 200 OK\r\nStream-Id: another\r\nContent-Length: 6\r\n\r\nwrong\n"

    def load(self):
        if not self.reports_load:
            raise ConnectionError("told to be silent")
        now = time.monotonic()
        if now - self.reported[0] >= self.report_lag:
            self.reported = (now, self.running, self.waiting)
        _, running, waiting = self.reported
        leaving = "yes" if self.leaving else "no"
        return Response(200, f"[load]\nrunning={running}\nwaiting={waiting}\nleaving={leaving}\n".encode())

    def counts(self):
        return Response(200, json.dumps({
            "started": self.started, "cancelled": self.cancelled, "running": self.running, "waiting": self.waiting,
            "resumed": self.resumed, "refused": self.refused,
            "deadlines": self.deadlines[-2000:], "overload": self.overload, "busy_seconds": self.busy_seconds, "orders": self.orders,
            "started_at": self.first_seen[-2000:]}).encode())

    def control(self, query):
        if "leaving" in query:
            self.leaving = query["leaving"] == "yes"
        if "refuse" in query:
            self.refuse = query["refuse"] == "yes"
        if "break-after" in query:
            self.break_after = int(query["break-after"]) or None
        self.answer = query.get("answer", self.answer)
        if "load" in query:
            self.reports_load = query["load"] == "yes"
        return Response(200, b"done\n")

    def order(self, request):
        number = int(request.headers.get("fencing-number", "0"))
        if self.checks_fencing and number < self.fencing:
            return Response(409, b"old fencing number\n")
        self.fencing = max(self.fencing, number)
        self.orders.append([number, request.body.decode()])
        return Response(200, b"done\n")

    async def generate(self, request, reader, writer):
        fields = parse_fields(request.body)
        tokens = int(fields.get("tokens", "10"))
        pause = float(fields.get("ms", "20")) / 1000
        name = fields.get("id", "x")
        padding = int(fields.get("pad", "0"))
        skip = int(request.headers.get("resume-at", "0"))
        if "deadline-ms" in request.headers:
            self.deadlines.append(int(request.headers["deadline-ms"]))
        self.started += 1
        if self.answer == "close":
            raise ConnectionError("told to close")
        self.first_seen.append(time.time())
        gone = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        if self.slots.locked():
            self.overload += 1
        try:
            async with self.slots:
                self.waiting -= 1
                self.running += 1
                began = time.monotonic()
                try:
                    await self.answer_in_form(writer, gone, (name, tokens, pause, padding, request.headers.get("stream-id")), skip)
                finally:
                    self.running -= 1
                    self.busy_seconds += time.monotonic() - began
        finally:
            gone.cancel()

    async def answer_in_form(self, writer, gone, work, skip):
        name, tokens = work[:2]
        whole = "".join(f"{name}:{index} " for index in range(tokens)).encode() + f"end {name} {tokens}\n".encode()
        half = whole[:len(whole) // 2]
        plain = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n"
        stated = plain + f"Content-Length: {len(whole)}\r\n\r\n".encode()
        wrong = {
            "cut-length": stated + half,
            "no-length": plain + b"\r\n" + half,
            "bad-chunk": plain + b"Transfer-Encoding: chunked\r\n\r\n5\r\n" + whole[:5] + b"\r\nnonsense\r\n",
            "garbage": stated + whole + b"garbage garbage garbage",
            "twice": (stated + whole) * 2,
            "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + stated + whole,
        }.get(self.answer)
        if wrong is None:
            await self.stream(writer, gone, work, 0 if self.answer == "ignore-resume" else skip)
            return
        writer.write(wrong)
        await writer.drain()

    async def stream(self, writer, gone, work, skip):
        name, tokens, pause, padding, stream_id = work
        headers = {"Stream-Id": stream_id} if stream_id else {}
        if skip:
            self.resumed += 1
            headers["Resumed-At"] = skip
        await start_chunked(writer, "text/plain", headers)
        sent = 0
        start = time.monotonic()
        for index in range(tokens):
            await asyncio.sleep(max(0.0, start + (index + 1) * pause - time.monotonic()))
            if gone.done():
                self.cancelled += 1
                raise ConnectionError("caller left")
            if self.break_after is not None and index >= self.break_after:
                self.break_after = None
                raise ConnectionError("told to break")
            data = f"{name}:{index} ".encode() + b"x" * padding
            if sent + len(data) > skip:
                await write_chunk(writer, data[max(0, skip - sent):])
            sent += len(data)
        ending = f"end {name} {tokens}\n".encode()
        await write_chunk(writer, ending[max(0, skip - sent):])
        await write_chunk(writer, b"")


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ports", required=True, help="comma-separated ports, one engine each")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--report-lag-ms", type=float, default=500)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args()
    engines = [(int(port), Engine(options.slots, options.report_lag_ms / 1000, options.checks_fencing))
               for port in options.ports.split(",")]
    await asyncio.gather(*(serve(port, engine.handle, greet=engine.greeting) for port, engine in engines))


if __name__ == "__main__":
    asyncio.run(main())
