#!/usr/bin/env python3
"""Stand-in for workers of the users' platform, both plain services and model engines, on persistent connections.

Request header fields select the worker's behaviour: `X-Events` is the number of events of a stream, `X-Pause-Ms` the delay
before each event or before a plain answer, `X-Padding` the bytes that follow the text of a plain answer, `X-Fault` a fault that
applies only to the first arrival of each request, and `X-Later-Fault` one for its later arrivals:

refuse (503 with Not-Executed), misdirect (421), fail (500), foreign (another request's answer precedes the answer), extra
(another request's answer follows the answer), close-ended (no length; the connection close ends the answer), truncate (the
connection is reset midway), inside (the stream is reset inside an event), mute (no answer), unsealed (a success without a
Response-Seal), copy-late (a second copy of the answer follows 50 ms later), stall (a stream sends its first event, then a byte of
the next one now and then), leaving (the answer says that the worker leaves), quiet (a refusal that asks for 2 s of quiet),
refusal-late and failure-late (a 503 with Not-Executed, or a 400, that names no request follows 50 ms later), refusal-again (a
refusal that names its request, and once more 50 ms later), endless-body (4 MB, then a byte now and then),
endless-head, endless-extension, endless-refusal, large-trailer (bytes that end an answer never, or in a field that is too large),
early-reset (a part of an answer without length is sent before the request's body is read, and the connection is reset),
status-NNN (the answer, or the stream, has the status NNN), failure-page (a 500 with a text that looks like events), page (the same
text as a sealed 200 that is no stream), no-content (a sealed 204), cut-head (the connection is closed in the middle of the head).

GET /control/seen returns, for the worker of the port, the requests that arrived, that ran and that the caller cancelled, and
the number of connections.
"""

import argparse
import asyncio
import json
import socket
import struct
import time
from dataclasses import dataclass, field

from http_server import read_request_head


COPY_DELAY = 0.05
STALL_PAUSE = 0.1
ENDLESS_BODY_SIZE = 4_000_000
STATUS_FAULT = "status-"

# Bytes that name no request, sent some time after a whole answer.
UNNAMED = {
    "refusal-late": b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "failure-late": b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
}

# Whole answers to any request: status, header fields and body.
PAGE = b"id: 9000\ndata: an error page\n\n"
PAGES = {
    "failure-page": (500, "Content-Type: text/html\r\n", PAGE),
    "page": (200, "Content-Type: text/html\r\n", PAGE),
    "no-content": (204, "", b""),
}

# Header fields of an answer that never ends as it should, and the bytes that are repeated after its head.
KILOBYTE = b"x" * 1024
ENDLESS = {
    "endless-head": ("X-Line: ", KILOBYTE),
    "endless-extension": ("Transfer-Encoding: chunked\r\n\r\n4;name=", KILOBYTE),
    "endless-refusal": ("Not-Executed: 1\r\nContent-Length: 100000000000\r\n\r\n", KILOBYTE),
    "large-trailer": ("Transfer-Encoding: chunked\r\n\r\n0\r\nX-Large: " + "x" * 70000 + "\r\n\r\n", b""),
}


@dataclass
class WorkerRecord:
    arrivals: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    cancelled_at: dict = field(default_factory=dict)
    connections: int = 0


class Worker:
    def __init__(self, name, port, arrived_ids):
        self.name = name
        self.port = port
        self.record = WorkerRecord()
        # Ids of requests that have arrived at any worker; a fault applies only to the first arrival.
        self.arrived_ids = arrived_ids

    async def handle_connection(self, reader, writer):
        self.record.connections += 1
        try:
            while True:
                request = await read_request_head(reader)
                if request.path == "/control/seen":
                    await self.control(writer)
                    continue
                if self.is_answered_early(request):
                    await self.answer_early(request, writer)
                    return
                request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
                if not await self.serve(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def is_answered_early(self, request):
        return request.headers.get("x-fault") == "early-reset" and request.headers.get("attempt-id") not in self.arrived_ids

    async def answer_early(self, request, writer):
        """Sends a part of an answer, or of a stream, and resets the connection while the body is still being sent."""
        request_id = request.headers["attempt-id"]
        self.arrived_ids.add(request_id)
        self.record_arrival(request)
        self.record.runs.append(request_id)
        content_type = "Content-Type: text/event-stream\r\n" if "x-events" in request.headers else ""
        writer.write(self.response_head(request_id, extra=content_type + "\r\n").encode() + numbered_event(request_id, 1))
        await writer.drain()
        reset(writer)

    def record_arrival(self, request):
        self.record.arrivals.append({"id": request.headers.get("attempt-id", ""), "at": time.monotonic(), "path": request.path,
                                     "method": request.method, "body": len(request.body), "headers": request.headers})

    async def control(self, writer):
        body = json.dumps({"arrivals": self.record.arrivals, "runs": self.record.runs, "left": self.record.cancelled_at,
                           "connections": self.record.connections}).encode()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    def response_head(self, request_id, status=200, extra="", sealed=True):
        seal = f"Response-Seal: {self.name}.{request_id}\r\n" if sealed else ""
        return (f"HTTP/1.1 {status} Status\r\nAttempt-Id: {request_id}\r\n{seal}Server-Load: 1,0,8\r\nKeep-Alive: timeout=10\r\n"
                f"{extra}")

    def complete_response(self, request_id, body, status=200, extra="", sealed=True):
        return self.response_head(request_id, status, f"{extra}Content-Length: {len(body)}\r\n\r\n", sealed).encode() + body

    async def serve(self, request, reader, writer):
        """Serves one request; returns whether the connection can serve another."""
        request_id = request.headers.get("attempt-id", "")
        fault = request.headers.get("x-fault", "")
        if request_id in self.arrived_ids:
            fault = request.headers.get("x-later-fault", "")
        self.arrived_ids.add(request_id)
        self.record_arrival(request)
        if request.headers.get("expected-instance") != self.name or fault == "misdirect":
            writer.write(f"HTTP/1.1 421 Misdirected\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if fault == "refuse":
            writer.write(self.complete_response(request_id, b"", 503, "Not-Executed: 1\r\n", sealed=False))
            return True
        if fault == "quiet":
            writer.write(self.complete_response(request_id, b"", 503, "Not-Executed: 1\r\nRetry-After: 2\r\n", sealed=False))
            return True
        if fault == "refusal-again":
            refusal = self.complete_response(request_id, b"", 503, "Not-Executed: 1\r\n", sealed=False)
            writer.write(refusal)
            self.send_later(writer, refusal)
            return True
        if fault == "endless-body":
            return await self.send_body_endlessly(request_id, writer)
        if fault in ENDLESS:
            return await self.send_endlessly(request_id, fault, writer)
        self.record.runs.append(request_id)
        if fault in PAGES:
            status, fields, body = PAGES[fault]
            writer.write(self.complete_response(request_id, body, status, fields))
            return True
        if fault == "cut-head":
            writer.write(self.response_head(request_id).encode()[:-8])
            return False
        if fault == "mute":
            await reader.read()
            return False
        try:
            if "x-events" in request.headers:
                return await self.stream(request, request_id, fault, reader, writer)
            return await self.answer(request, request_id, fault, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record.cancelled_at[request_id] = time.monotonic()
            raise

    async def answer(self, request, request_id, fault, writer):
        await asyncio.sleep(float(request.headers.get("x-pause-ms", "0")) / 1000)
        body = f"{self.name} {request.method} {request.path} {len(request.body)}".encode()
        body += b" " * int(request.headers.get("x-padding", "0"))
        if fault == "fail":
            writer.write(self.complete_response(request_id, b"failed", 500))
        elif fault == "foreign":
            writer.write(self.complete_response("somebody-else", b"not yours") + self.complete_response(request_id, body))
        elif fault == "extra":
            writer.write(self.complete_response(request_id, body) + self.complete_response("somebody-else", b"not yours"))
        elif fault == "copy-late":
            writer.write(self.complete_response(request_id, body))
            await writer.drain()
            await asyncio.sleep(COPY_DELAY)
            writer.write(self.complete_response(request_id, body))
        elif fault in UNNAMED:
            writer.write(self.complete_response(request_id, body))
            self.send_later(writer, UNNAMED[fault])
        elif fault.startswith(STATUS_FAULT):
            writer.write(self.complete_response(request_id, body, fault.removeprefix(STATUS_FAULT)))
        elif fault == "leaving":
            writer.write(self.complete_response(request_id, body, extra="Server-Leaving: 1\r\n"))
        elif fault == "unsealed":
            writer.write(self.complete_response(request_id, body, sealed=False))
        elif fault == "close-ended":
            writer.write(self.response_head(request_id, extra="Connection: close\r\n\r\n").encode() + body)
            await writer.drain()
            return False
        elif fault == "truncate":
            writer.write(self.complete_response(request_id, body)[:-4])
            await writer.drain()
            reset(writer)
            return False
        else:
            writer.write(self.complete_response(request_id, body))
        await writer.drain()
        return True

    def send_later(self, writer, additional):
        """Sends bytes while the next request on the connection may already run."""
        asyncio.get_running_loop().call_later(
            COPY_DELAY, lambda: None if writer.is_closing() else writer.write(additional))

    async def send_body_endlessly(self, request_id, writer):
        """Sends a body without a length until the other side closes."""
        writer.write(self.response_head(request_id, extra="Connection: close\r\n\r\n").encode() + b"x" * ENDLESS_BODY_SIZE)
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(STALL_PAUSE)
            writer.write(b"x")
        return False

    async def send_endlessly(self, request_id, fault, writer):
        """Sends the fault's bytes until the other side closes."""
        opening, repeated = ENDLESS[fault]
        writer.write(self.response_head(request_id, 503 if fault == "endless-refusal" else 200, opening).encode())
        await writer.drain()
        while repeated:
            writer.write(repeated)
            await writer.drain()
        return True

    async def stream(self, request, request_id, fault, reader, writer):
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = int(request.headers["x-events"])
        pause = float(request.headers.get("x-pause-ms", "1")) / 1000
        disconnected = asyncio.ensure_future(reader.read(1))
        status = fault.removeprefix(STATUS_FAULT) if fault.startswith(STATUS_FAULT) else 200
        writer.write(self.response_head(
            request_id, status, extra="Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, last + 1):
            done, _ = await asyncio.wait({disconnected}, timeout=pause)
            if done and not disconnected.result():
                self.record.cancelled_at[request_id] = time.monotonic()
                return False
            event = numbered_event(request_id, number)
            if fault == "stall" and number > first:
                await self.stall(event, writer)
            if fault in ("inside", "truncate") and number == (first + last) // 2:
                half = event[: len(event) // 2] if fault == "inside" else event
                writer.write(f"{len(half):x}\r\n".encode() + half + b"\r\n")
                await writer.drain()
                reset(writer)
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        disconnected.cancel()
        return True


    async def stall(self, event, writer):
        """Sends an event that never ends, a byte now and then, until the other side closes."""
        while True:
            writer.write(b"1\r\n" + event[:1] + b"\r\n")
            await writer.drain()
            await asyncio.sleep(STALL_PAUSE)


def numbered_event(request_id, number):
    return f"id: {number}\ndata: {request_id} event {number}\n\n".encode()


def reset(writer):
    """Closes the connection with a TCP reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", required=True, help="comma-separated NAME:PORT of each worker")
    arguments = parser.parse_args()
    arrived_ids = set()
    servers = []
    for word in arguments.workers.split(","):
        name, port = word.rsplit(":", 1)
        worker = Worker(name, int(port), arrived_ids)
        servers.append(await asyncio.start_server(worker.handle_connection, "127.0.0.1", int(port), backlog=512))
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    asyncio.run(main())
