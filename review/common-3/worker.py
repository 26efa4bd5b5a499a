#!/usr/bin/env python3
"""Stand-in for one worker of a plain service: a process that registers itself in the store, serves HTTP/1.1, and drains.

SIGTERM makes it drain: it reports `draining`, says `Server-Leaving: 1` in all answers, goes on serving for `--drain-ms`
and `--linger-ms` after the store has accepted the report, removes its entry and exits.

A target that ends with `/sold-out` is answered with 409, any other with 200; both are the worker's own answers to requests that
it ran. A target that ends with `/stream` is answered with `--events` events, one each `--pause-ms`. The worker runs `--slots` requests at once, lets `--queue` more wait, and refuses the rest with 503 and `Not-Executed`.

With `--garble-every N`, at most one in N of its answers is followed by a second copy that breaks off: answers with the status
`--garble-status`, after `--garble-bytes` bytes. These bytes arrive late, just before the answer to the next request on the
connection.

`--clock-ms` is how far the time of day of its machine is ahead. Only `born` depends on it.

Lines of JSON go to `--record`: what arrived, what ran to its end, what was dropped, and what was written to the store.
All times in them are those of the machine's steady clock, so that they can be compared with those of other processes.
"""

import argparse
import asyncio
import json
import signal
import time
import urllib.parse


class Worker:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000) + options.clock_ms
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.answers, self.garbled, self.waiting = 0, 0, 0
        self.slots = asyncio.Semaphore(options.slots)
        self.late_bytes = {}
        self.record = open(options.record, "a", buffering=1)
        self.drain_asked = asyncio.Event()

    def note(self, what, **more):
        self.record.write(json.dumps({"at": round(time.monotonic(), 4), "worker": self.options.id, "born": self.born,
                                      "what": what, **more}) + "\n")

    async def call_store(self, path, body=b""):
        """One control call of the store's stand-in; returns when the store has acknowledged it."""
        host, port = self.options.store.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def write_entry(self):
        self.sequence += 1
        entry = {"service": self.options.service, "address": self.options.listen, "zone": self.options.zone, "version": "v1",
                 "slots": self.options.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                 "born": self.born}
        key = urllib.parse.quote(f"servers/{self.options.id}", safe="")
        await self.call_store(f"/control/put?key={key}", json.dumps(entry).encode())

    async def register(self):
        """Writes the entry at each heartbeat until the worker drains, and then ends the worker."""
        await self.write_entry()
        self.note("registered")
        while not self.drain_asked.is_set():
            try:
                await asyncio.wait_for(self.drain_asked.wait(), self.options.heartbeat_ms / 1000)
            except asyncio.TimeoutError:
                await self.write_entry()
        self.state = "draining"
        await self.write_entry()
        self.note("draining-acknowledged")
        await asyncio.sleep((self.options.drain_ms + self.options.linger_ms) / 1000)
        await self.call_store(f"/control/delete?key={urllib.parse.quote('servers/' + self.options.id, safe='')}")
        self.note("exits", running=self.running)

    def answer(self, status, request_id, body=b"", fields="", is_head=False, seal=True):
        head = f"HTTP/1.1 {status} Status\r\nAttempt-Id: {request_id}\r\n"
        if seal:
            head += f"Response-Seal: {self.options.id}.{request_id}\r\n"
        if self.state == "draining":
            head += "Server-Leaving: 1\r\n"
        head += (f"Server-Load: {self.running},{self.waiting},{self.options.slots}\r\nKeep-Alive: timeout=10\r\n{fields}"
                 f"Content-Length: {len(body)}\r\n\r\n")
        return head.encode() + (b"" if is_head else body)

    async def serve(self, reader, writer):
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = {name.strip().lower(): value.strip() for name, value in
                          (line.split(":", 1) for line in lines[1:] if line)}
                await reader.readexactly(int(fields.get("content-length", "0")))
                if not await self.handle(method, target, fields, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.late_bytes.pop(writer, None)
            writer.close()

    async def handle(self, method, target, fields, reader, writer):
        """Serves one request. Returns whether the connection can serve another."""
        request_id = fields.get("attempt-id", "")
        if fields.get("expected-instance", self.options.id) != self.options.id:
            writer.write(self.answer(421, request_id, fields=f"Instance-Id: {self.options.id}\r\n", seal=False))
            return True
        self.note("arrives", id=request_id, method=method, target=target, tenant=fields.get("tenant", ""))
        if self.running >= self.options.slots and self.waiting >= self.options.queue:
            self.note("sheds", id=request_id)
            await self.send(writer, 503, self.refusal(request_id))
            return True
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        self.running += 1
        self.note("starts", id=request_id)
        closed = asyncio.ensure_future(reader.read(1))
        is_stream = target.endswith("/stream")
        if is_stream:
            await self.stream(request_id, closed, writer)
        else:
            await asyncio.wait({closed}, timeout=self.options.work_ms / 1000)
        self.running -= 1
        self.slots.release()
        if closed.done():
            self.note("dropped", id=request_id)
            return False
        closed.cancel()
        try:
            await closed
        except asyncio.CancelledError:
            pass
        body = b"" if target.endswith("/empty") else f"{self.options.id} {method} {target}".encode()
        status = 409 if target.endswith("/sold-out") else 200
        self.note("ran", id=request_id, status=status)
        if is_stream:
            writer.write(b"0\r\n\r\n")
            return True
        await self.send(writer, status, self.answer(status, request_id, body, is_head=method == "HEAD"))
        return True

    async def stream(self, request_id, closed, writer):
        """Sends the events of a stream, without its end, unless the connection is closed before."""
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nResponse-Seal: {self.options.id}.{request_id}\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, self.options.events + 1):
            await asyncio.wait({closed}, timeout=self.options.pause_ms / 1000)
            if closed.done():
                return
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")

    def refusal(self, request_id):
        return (f"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: {request_id}\r\n"
                f"Server-Load: {self.running},{self.waiting},{self.options.slots}\r\nContent-Length: 0\r\n\r\n").encode()

    async def send(self, writer, status, answer):
        await self.send_late_bytes(writer)
        writer.write(answer)
        await writer.drain()
        self.answers += 1
        every = self.options.garble_every
        if every and status == self.options.garble_status and (self.garbled + 1) * every <= self.answers:
            self.garbled += 1
            self.late_bytes[writer] = answer[:self.options.garble_bytes]

    async def send_late_bytes(self, writer):
        """Sends the beginning of a second copy of the last answer on this connection, if it is due."""
        late = self.late_bytes.pop(writer, b"")
        if late:
            self.note("garbles", bytes=late.decode())
            writer.write(late)
            await writer.drain()
            await asyncio.sleep(0.005)


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--zone", default="sohar")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--work-ms", type=int, default=15)
    parser.add_argument("--heartbeat-ms", type=int, default=1200)
    parser.add_argument("--drain-ms", type=int, default=2000)
    parser.add_argument("--linger-ms", type=int, default=1000)
    parser.add_argument("--garble-every", type=int, default=0)
    parser.add_argument("--garble-status", type=int, default=200)
    parser.add_argument("--garble-bytes", type=int, default=14)
    parser.add_argument("--events", type=int, default=60)
    parser.add_argument("--pause-ms", type=int, default=100)
    parser.add_argument("--clock-ms", type=int, default=0)
    worker = Worker(parser.parse_args())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, worker.drain_asked.set)
    host, port = worker.options.listen.rsplit(":", 1)
    await asyncio.start_server(worker.serve, host, int(port), backlog=256)
    await worker.register()


if __name__ == "__main__":
    asyncio.run(main())
