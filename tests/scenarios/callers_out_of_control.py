"""Checks that callers out of control neither end nor exhaust an entry router: many requests at once that stop short of their end
and stay open, bodies over the limit, answers that are not read, and connections that say nothing.

Guards against a failure that was reported: such callers took a router's whole memory. Each part of the crowd meets a router of
its own with low limits. No check depends on the speed of the machine: while a part's connections are still open, the process
lives, its peak memory and its descriptors are within its settings, and one ordinary request is answered.
"""

import os
import socket
import sys
import threading
import time

import platform_fleet
from checks import Checks
from platform_fleet import Caller, EntryRouter

# The lowest limits that the settings accept.
MEMORY_MB = 64
FILE_DESCRIPTORS = 256

# The limits that the settings state are for the whole process, so its resident memory and its descriptors stay below them.
MEMORY_BOUND_KIB = MEMORY_MB * 1024
DESCRIPTOR_BOUND = FILE_DESCRIPTORS

# 150 callers stay below the 153 connections that the router accepts with these descriptors: 150 bodies of 4 MiB are 600 MiB,
# of 512 KiB 75 MiB. 200 callers are more than the connections that it accepts.
HOLDERS = 150
OCCUPANTS = 200

BODY_LIMIT = 4 * 1024 * 1024
PIECE = b"x" * (64 * 1024)
PIECE_CHUNK = b"10000\r\n" + PIECE + b"\r\n"

# A body in one-byte chunks; each takes six bytes on the connection.
SMALL_CHUNKS = b"1\r\nx\r\n" * (64 * 1024)
SMALL_CHUNK_PIECES = 8

# Below the router's buffer of 64 KiB for what its parser must see as a whole.
UNFINISHED = 56 * 1024

# An ordinary caller retries a refusal, which promises that the request has not run, until its deadline.
ORDINARY_DEADLINE_SECONDS = 10


def head(name, path="/order/1", *fields):
    lines = [f"POST {path} HTTP/1.1", f"Host: {platform_fleet.HOST}", f"Attempt-Id: {name}", "Authorization: Bearer key-weavers",
             "Deadline-Milliseconds: 8000", *fields]
    return "\r\n".join(lines).encode() + b"\r\n"


def chunked(name):
    return head(name, "/order/1", "Transfer-Encoding: chunked") + b"\r\n"


def large_chunks(name):
    yield chunked(name)
    for _ in range(BODY_LIMIT // len(PIECE) - 1):
        yield PIECE_CHUNK
    yield b"10000\r\n" + PIECE[:-1]


def one_byte_chunks(name):
    yield chunked(name)
    for _ in range(SMALL_CHUNK_PIECES):
        yield SMALL_CHUNKS


def short_announced_body(name):
    yield head(name, "/order/1", f"Content-Length: {BODY_LIMIT}") + b"\r\n"
    for _ in range(BODY_LIMIT // len(PIECE) - 1):
        yield PIECE
    yield PIECE[:-1]


def short_head(name):
    yield head(name) + b"X-Line: " + b"x" * (15 * 1024)


def announced_over_limit(name):
    yield head(name, "/order/1", "Content-Length: 1000000000") + b"\r\n"
    for _ in range(4 * BODY_LIMIT // len(PIECE)):
        yield PIECE


def sent_over_limit(name):
    yield chunked(name)
    for _ in range(4 * BODY_LIMIT // len(PIECE)):
        yield PIECE_CHUNK


def endless_extension(name):
    yield chunked(name) + b"4;name=" + b"x" * UNFINISHED


def endless_trailer(name):
    yield chunked(name) + b"0\r\n" + b"X-Line: 1\r\n" * (UNFINISHED // 11)


def whole_bodies(name):
    yield head(name, "/order/1", f"Content-Length: {BODY_LIMIT}", "X-Pause-Ms: 6000") + b"\r\n"
    for _ in range(BODY_LIMIT // len(PIECE)):
        yield PIECE


def unread_answers(name):
    yield head(name, "/order/1", "Content-Length: 0", "X-Padding: 4000000") + b"\r\n"


def pipelined_requests(name):
    yield head(name, "/order/1", "Content-Length: 0", "X-Pause-Ms: 6000") + b"\r\n"
    following = head(f"{name}-next", "/order/2", "Content-Length: 0") + b"\r\n"
    yield following * (UNFINISHED // len(following))


def silence(_):
    return iter(())


PARTS = {
    "large-chunks": (large_chunks, HOLDERS),
    "one-byte-chunks": (one_byte_chunks, HOLDERS),
    "short-announced-bodies": (short_announced_body, HOLDERS),
    "short-heads": (short_head, OCCUPANTS),
    "announced-over-limit": (announced_over_limit, HOLDERS),
    "sent-over-limit": (sent_over_limit, HOLDERS),
    "endless-extensions": (endless_extension, HOLDERS),
    "endless-trailers": (endless_trailer, HOLDERS),
    "whole-bodies": (whole_bodies, HOLDERS),
    "unread-answers": (unread_answers, HOLDERS),
    "pipelined-requests": (pipelined_requests, HOLDERS),
    "silent-connections": (silence, OCCUPANTS),
}


class StrayCaller(threading.Thread):
    """A caller that sends what its script yields, then neither sends nor reads nor closes."""

    def __init__(self, router, name, script):
        super().__init__(daemon=True)
        self.name, self.script = name, script
        self.connection = socket.socket()
        # An answer that is not read stays in the router.
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.connection.settimeout(10)
        self.router = router

    def run(self):
        try:
            self.connection.connect((self.router.address, self.router.caller_port))
            for piece in self.script(self.name):
                self.connection.sendall(piece)
        except OSError:
            # The router may refuse such a caller, close its connection, or leave it unread.
            pass


class ProcessWatch(threading.Thread):
    """Records the most descriptors that a process has open."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.process = process
        self.most_descriptors = 0
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.02):
            try:
                self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            except OSError:
                return


def peak_memory_kib(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next((int(line.split()[1]) for line in status if line.startswith("VmHWM:")), 0)


def ordinary_call(router, name, path="/lookup/1", **options):
    """Makes a call as an ordinary caller does: on a new connection, again after a refusal, until its deadline."""
    deadline = time.monotonic() + ORDINARY_DEADLINE_SECONDS
    result = "no answer"
    attempt = 0
    while time.monotonic() < deadline:
        attempt += 1
        caller = Caller(router, timeout=max(0.1, deadline - time.monotonic()))
        try:
            status, fields, body = caller.call(f"{name}-{attempt}", path, **options)
        except OSError as error:
            result = f"{type(error).__name__}"
            continue
        finally:
            caller.close()
        if status not in (429, 503):
            return status if body is not None else "truncated"
        result = status
        time.sleep(min(1.0, float(fields.get("Retry-After", "0.2"))))
    return result


def check_part(checks, running, router, name, crowd):
    running.start_router(router)
    running.wait_ready(router)
    watch = ProcessWatch(router.process)
    watch.start()
    print(f"{name}: {len(crowd)} callers, memory before {peak_memory_kib(router.process)} KiB", flush=True)
    callers = [StrayCaller(router, f"{part}{number}", script) for number, (part, script) in enumerate(crowd)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    # The connections of the crowd are still open.
    status = ordinary_call(router, f"ordinary-{name}")
    checks.true(f"{name}: the process lives", router.process.poll() is None)
    checks.equal(f"{name}: one ordinary request is answered", status, 200)
    checks.at_most(f"{name}: peak resident memory in KiB", peak_memory_kib(router.process), MEMORY_BOUND_KIB)
    checks.at_most(f"{name}: open descriptors", watch.most_descriptors, DESCRIPTOR_BOUND)
    for caller in callers:
        caller.connection.close()
    status = ordinary_call(router, f"largest-{name}", "/order/1", body=b"x" * BODY_LIMIT)
    checks.equal(f"{name}: one request at the body limit is answered in calm", status, 200)
    watch.stopping.set()
    watch.join()
    running.kill(router)


def mixed_crowd():
    scripts = [(name, script) for name, (script, _) in PARTS.items()]
    return [scripts[number % len(scripts)] for number in range(OCCUPANTS)]


def main():
    checks = Checks("callers out of control")
    crowds = {name: [(name, script)] * count for name, (script, count) in PARTS.items()}
    crowds["all-at-once"] = mixed_crowd()
    with platform_fleet.PlatformFleet(routers=0, memory_mb=MEMORY_MB, file_descriptors=FILE_DESCRIPTORS) as running:
        for worker in ("plain0", "plain1"):
            running.announce(worker, slots=200)
        ports = platform_fleet.fleet.free_ports(4)
        ports[2:] = sorted(ports[2:])
        for index, (name, crowd) in enumerate(crowds.items()):
            check_part(checks, running, EntryRouter(index + 1, "sohar", ports), name, crowd)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
