#!/usr/bin/env python3
"""Stand-in for model engines with continuous batching: each port is one engine.

POST /generate with the body `id=X tokens=N ms=T` streams N tokens, T ms apart. Each token is `X:i ` and the answer ends
with `end X N`; `pad=BYTES` makes each token longer. Resume-At skips the bytes that the caller already has, and Resumed-At
confirms a resumed answer. Closing the connection cancels the call. GET /load reports running and waiting calls; the numbers
are up to --report-lag-ms old. GET /counts returns the engine's counters.

POST /order with a Fencing-Number lower than an earlier one is refused if the engine checks fencing (--checks-fencing).

POST /control?leaving=yes|no&break-after=TOKENS&refuse=yes|no&answer=FORM&load=yes|no changes the behaviour. FORM is
`whole` or a malformed answer:

cut-head        closes in the middle of the head
cut-length      states a Content-Length and closes before reaching it
no-length       states no length and closes half-way
bad-chunk       breaks the chunked framing in the middle
garbage         adds bytes after the complete answer
twice           sends the complete answer twice
interim         sends interim responses (1xx) before the complete answer
close           closes without an answer
early           sends the answer to another call before it reads the request
ignore-resume   starts a resumed answer from the beginning and does not confirm it
fail-resume     answers the request to resume with an error
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
        self.started_at = []
        self.last_report = (0.0, 0, 0)
        self.leaving = False
        self.refuse = False
        self.refused = 0
        self.break_after = None
        self.answer_form = "whole"
        self.reports_load = True
        self.resumed = 0
        self.deadlines = []
        self.highest_fencing_number = 0
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

    def early_answer(self):
        """Returns the bytes to write to a connection before its request is read."""
        if self.answer_form != "early":
            return b""
        return b"HTTP/1.1 200 OK\r\nStream-Id: another\r\nContent-Length: 6\r\n\r\nwrong\n"

    def load(self):
        if not self.reports_load:
            raise ConnectionError("load reports are off")
        now = time.monotonic()
        if now - self.last_report[0] >= self.report_lag:
            self.last_report = (now, self.running, self.waiting)
        _, running, waiting = self.last_report
        leaving = "yes" if self.leaving else "no"
        return Response(200, f"[load]\nrunning={running}\nwaiting={waiting}\nleaving={leaving}\n".encode())

    def counts(self):
        return Response(200, json.dumps({
            "started": self.started, "cancelled": self.cancelled, "running": self.running, "waiting": self.waiting,
            "resumed": self.resumed, "refused": self.refused,
            "deadlines": self.deadlines[-2000:], "overload": self.overload, "busy_seconds": self.busy_seconds, "orders": self.orders,
            "started_at": self.started_at[-2000:]}).encode())

    def control(self, query):
        if "leaving" in query:
            self.leaving = query["leaving"] == "yes"
        if "refuse" in query:
            self.refuse = query["refuse"] == "yes"
        if "break-after" in query:
            self.break_after = int(query["break-after"]) or None
        self.answer_form = query.get("answer", self.answer_form)
        if "load" in query:
            self.reports_load = query["load"] == "yes"
        return Response(200, b"done\n")

    def order(self, request):
        number = int(request.headers.get("fencing-number", "0"))
        if self.checks_fencing and number < self.highest_fencing_number:
            return Response(409, b"old fencing number\n")
        self.highest_fencing_number = max(self.highest_fencing_number, number)
        self.orders.append([number, request.body.decode()])
        return Response(200, b"done\n")

    async def generate(self, request, reader, writer):
        fields = parse_fields(request.body)
        tokens = int(fields.get("tokens", "10"))
        token_interval = float(fields.get("ms", "20")) / 1000
        name = fields.get("id", "x")
        padding = int(fields.get("pad", "0"))
        resume_offset = int(request.headers.get("resume-at", "0"))
        if "deadline-ms" in request.headers:
            self.deadlines.append(int(request.headers["deadline-ms"]))
        self.started += 1
        if self.answer_form == "close":
            raise ConnectionError("answer form is close")
        self.started_at.append(time.time())
        disconnected = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        if self.slots.locked():
            self.overload += 1
        try:
            async with self.slots:
                self.waiting -= 1
                self.running += 1
                began = time.monotonic()
                try:
                    await self.write_answer(
                        writer, disconnected, (name, tokens, token_interval, padding, request.headers.get("stream-id")),
                        resume_offset)
                finally:
                    self.running -= 1
                    self.busy_seconds += time.monotonic() - began
        finally:
            disconnected.cancel()

    async def write_answer(self, writer, disconnected, job, resume_offset):
        name, tokens = job[:2]
        complete = "".join(f"{name}:{index} " for index in range(tokens)).encode() + f"end {name} {tokens}\n".encode()
        half = complete[:len(complete) // 2]
        base_head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n"
        head_with_length = base_head + f"Content-Length: {len(complete)}\r\n\r\n".encode()
        failure = b"the engine failed\n"
        malformed = {
            "cut-head": head_with_length[:-8],
            "cut-length": head_with_length + half,
            "no-length": base_head + b"\r\n" + half,
            "bad-chunk": base_head + b"Transfer-Encoding: chunked\r\n\r\n5\r\n" + complete[:5] + b"\r\nnonsense\r\n",
            "garbage": head_with_length + complete + b"garbage garbage garbage",
            "twice": (head_with_length + complete) * 2,
            "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                       + head_with_length + complete,
        }.get(self.answer_form)
        if self.answer_form == "fail-resume" and resume_offset:
            self.resumed += 1
            malformed = b"HTTP/1.1 500 Failed\r\nContent-Length: %d\r\n\r\n" % len(failure) + failure
        if malformed is None:
            await self.stream(writer, disconnected, job, 0 if self.answer_form == "ignore-resume" else resume_offset)
            return
        writer.write(malformed)
        await writer.drain()

    async def stream(self, writer, disconnected, job, resume_offset):
        name, tokens, token_interval, padding, stream_id = job
        headers = {"Stream-Id": stream_id} if stream_id else {}
        if resume_offset:
            self.resumed += 1
            headers["Resumed-At"] = resume_offset
        await start_chunked(writer, "text/plain", headers)
        sent = 0
        start = time.monotonic()
        for index in range(tokens):
            await asyncio.sleep(max(0.0, start + (index + 1) * token_interval - time.monotonic()))
            if disconnected.done():
                self.cancelled += 1
                raise ConnectionError("caller disconnected")
            if self.break_after is not None and index >= self.break_after:
                self.break_after = None
                raise ConnectionError("break-after reached")
            data = f"{name}:{index} ".encode() + b"x" * padding
            if sent + len(data) > resume_offset:
                await write_chunk(writer, data[max(0, resume_offset - sent):])
            sent += len(data)
        ending = f"end {name} {tokens}\n".encode()
        await write_chunk(writer, ending[max(0, resume_offset - sent):])
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
    await asyncio.gather(*(serve(port, engine.handle, preamble=engine.early_answer) for port, engine in engines))


if __name__ == "__main__":
    asyncio.run(main())
