"""Checks that callers out of control on thousands of connections neither end nor exhaust an entry router: requests refused at
once, requests that stop short of their end, pipelined bytes that the router does not read, and bytes that arrive while it is paused.

Guards against a failure that was reported: a router with little memory and many descriptors ran out of memory. Bytes that the
router has received and not read count towards its memory, as on the users' platform. No check depends on the speed of the machine.
"""

import selectors
import socket
import sys
import threading
import time

import platform_fleet
from callers_out_of_control import BODY_LIMIT, PIECE_CHUNK, SMALL_CHUNKS, ProcessWatch, chunked, head, large_chunks, ordinary_call, \
    peak_memory_kib, short_head
from checks import Checks
from platform_fleet import EntryRouter

# The lowest memory that the settings accept, and the number of descriptors that they state by default.
MEMORY_MB = 64
FILE_DESCRIPTORS = 4096

MEMORY_BOUND_KIB = MEMORY_MB * 1024
DESCRIPTOR_BOUND = FILE_DESCRIPTORS

# Below the 2,457 connections that the router accepts with these descriptors.
CONNECTIONS = 2400

# Bodies of 12 MiB together, which the router keeps until they end or time out.
HOLDERS = 3

# The crowd has sent what it can when no connection takes more bytes for this time.
QUIET_SECONDS = 1.0
SENDING_SECONDS = 30

LISTENING = "0A"


def refused(name):
    yield head(name, "/order/1", "Content-Length: 1000000000") + b"\r\n"


def short_bodies(name):
    yield chunked(name) + PIECE_CHUNK * 4


def short_one_byte_chunks(name):
    yield chunked(name) + SMALL_CHUNKS[:6 * 2048]


def unfinished_body(name):
    yield chunked(name)
    for _ in range(BODY_LIMIT // len(PIECE_CHUNK) - 1):
        yield PIECE_CHUNK


def whole_bodies(name):
    size = 256 * 1024
    yield head(name, "/order/1", f"Content-Length: {size}", "X-Pause-Ms: 6000") + b"\r\n" + b"x" * size


def pipelined_surplus(name):
    yield head(name, "/order/1", "Content-Length: 0", "X-Pause-Ms: 6000") + b"\r\n"
    following = head(f"{name}-next", "/order/2", "Content-Length: 0") + b"\r\n"
    yield following * (256 * 1024 // len(following))


class Connection:
    """A connection that sends what its script yields as far as the router takes it, and neither reads nor closes."""

    def __init__(self, router):
        self.socket = socket.create_connection((router.address, router.caller_port), timeout=10)
        self.socket.setblocking(False)
        self.script, self.unsent = iter(()), b""

    def send_some(self):
        """Returns whether more can be sent later."""
        try:
            while self.unsent or (piece := next(self.script, b"")):
                if not self.unsent:
                    self.unsent = memoryview(piece)
                self.unsent = self.unsent[self.socket.send(self.unsent):]
        except BlockingIOError:
            return True
        except OSError:
            # The router may close the connection of such a caller.
            pass
        return False


def send_all(connections, script):
    """Runs a script on all connections at once until none of them takes more bytes."""
    selector = selectors.DefaultSelector()
    for number, connection in enumerate(connections):
        connection.script = script(f"{script.__name__}-{number}")
        selector.register(connection.socket, selectors.EVENT_WRITE, connection)
    deadline = time.monotonic() + SENDING_SECONDS
    while selector.get_map() and time.monotonic() < deadline:
        ready = selector.select(QUIET_SECONDS)
        if not ready:
            break
        for key, _ in ready:
            if not key.data.send_some():
                selector.unregister(key.fileobj)
    selector.close()


def resident_memory_kib(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next((int(line.split()[1]) for line in status if line.startswith("VmRSS:")), 0)


def unread_kib(router):
    """Returns what the kernel has received for the router's connections and the router has not read."""
    local = "".join(f"{int(part):02X}" for part in reversed(router.address.split("."))) + ":"
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            # A connection that was not accepted yet has no inode.
            if fields[1].startswith(local) and fields[3] != LISTENING and fields[9] != "0":
                total += int(fields[4].split(":")[1], 16)
    return total // 1024


class MemoryWatch(threading.Thread):
    """Records the most memory that a router has taken together with the bytes that it has not read."""

    def __init__(self, router):
        super().__init__(daemon=True)
        self.router = router
        self.most, self.most_unread = 0, 0
        self.stopping = threading.Event()

    def sample(self):
        unread = unread_kib(self.router)
        self.most_unread = max(self.most_unread, unread)
        self.most = max(self.most, resident_memory_kib(self.router.process) + unread)

    def run(self):
        while not self.stopping.wait(0.1):
            try:
                self.sample()
            except OSError:
                return


def at_once(script):
    def crowd(running, router, connections):
        send_all(connections, script)
    return crowd


def refused_beside_large_bodies(running, router, connections):
    send_all(connections[:HOLDERS], large_chunks)
    send_all(connections[HOLDERS:], refused)


def in_turn(running, router, connections):
    scripts = (short_head, short_bodies, whole_bodies, refused, pipelined_surplus, short_one_byte_chunks)
    share = len(connections) // len(scripts)
    for number, script in enumerate(scripts):
        send_all(connections[number * share:(number + 1) * share], script)


def while_paused(running, router, connections):
    running.freeze(router)
    send_all(connections, unfinished_body)
    running.thaw(router)


PARTS = {
    "refused-beside-large-bodies": refused_beside_large_bodies,
    "short-heads": at_once(short_head),
    "short-bodies": at_once(short_bodies),
    "one-byte-chunks": at_once(short_one_byte_chunks),
    "whole-bodies": at_once(whole_bodies),
    "pipelined-surplus": at_once(pipelined_surplus),
    "one-after-the-other": in_turn,
    "sent-while-paused": while_paused,
}


def check_part(checks, running, router, name, crowd):
    running.start_router(router)
    running.wait_ready(router)
    descriptors, memory = ProcessWatch(router.process), MemoryWatch(router)
    descriptors.start()
    memory.start()
    print(f"{name}: {CONNECTIONS} connections, memory before {peak_memory_kib(router.process)} KiB", flush=True)
    connections = [Connection(router) for _ in range(CONNECTIONS)]
    crowd(running, router, connections)
    # The connections of the crowd are still open.
    status = ordinary_call(router, f"ordinary-{name}")
    checks.true(f"{name}: the process lives", router.process.poll() is None)
    checks.equal(f"{name}: one ordinary request is answered", status, 200)
    checks.at_most(f"{name}: peak resident memory in KiB", peak_memory_kib(router.process), MEMORY_BOUND_KIB)
    checks.at_most(f"{name}: peak memory with unread bytes in KiB", memory.most, MEMORY_BOUND_KIB)
    checks.at_most(f"{name}: open descriptors", descriptors.most_descriptors, DESCRIPTOR_BOUND)
    print(f"{name}: most unread bytes {memory.most_unread} KiB", flush=True)
    for connection in connections:
        connection.socket.close()
    status = ordinary_call(router, f"largest-{name}", "/order/1", body=b"x" * BODY_LIMIT)
    checks.equal(f"{name}: one request at the body limit is answered in calm", status, 200)
    for watch in (descriptors, memory):
        watch.stopping.set()
        watch.join()
    running.kill(router)


def main():
    checks = Checks("crowds of connections")
    names = sys.argv[1:] or list(PARTS)
    with platform_fleet.PlatformFleet(routers=0, memory_mb=MEMORY_MB, file_descriptors=FILE_DESCRIPTORS) as running:
        for worker in ("plain0", "plain1"):
            running.announce(worker, slots=200)
        ports = platform_fleet.fleet.free_ports(4)
        ports[2:] = sorted(ports[2:])
        for index, name in enumerate(names):
            check_part(checks, running, EntryRouter(index + 1, "sohar", ports), name, PARTS[name])
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
