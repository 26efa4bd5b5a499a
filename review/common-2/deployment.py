"""A small deployment on loopback addresses: the routers as processes, and stand-ins for the store, workers and clients.

The stand-ins follow PROTOCOL.md and DEPLOY.md of the users' system pages. They run in the process of the script, and the
routers run as the deploy file says. Every worker, client and store call is recorded with the time since the start.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-weavers"
ZONES = ("sohar", "saham", "barka")
# Of the store and the workers, and of four routers.
ADDRESSES = ("127.0.0.1", "127.0.3.1", "127.0.3.2", "127.0.3.3", "127.0.3.4")

# The bounds of the small deployments of SYSTEM.md.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_apply_ms": 2000,
          "rollback_slack_ms": 250, "outer_bound_ms": 5000, "strict_revocation": True, "revocation_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recovery_s": 12, "pass_ms": 120,
          "reuse_window_s": 8.3, "quota_window_s": 4}

# The larger machines of these deployments.
LIMITS = {"cpu_share": 0.5, "cores": 1, "memory_mb": 520, "file_descriptors": 8200, "link_mbps": 2000.0, "disk_mb": 0}


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Collects what was sent, answered and run, and writes it to record.txt."""

    def __init__(self, path):
        self.path = path
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():8.3f} s  {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


def is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Free ports outside the range from which the kernel draws the ports of outgoing connections."""
    low = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = []
    for candidate in random.sample(range(min(10000, low - 1000), low), 500):
        if len(ports) == count:
            break
        if all(is_free(address, candidate) for address in ADDRESSES):
            ports.append(candidate)
    if len(ports) < count:
        raise CannotRun("no free ports")
    # The internal range is given by two ports in ascending order.
    return sorted(ports)


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return head[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


class Store:
    """The platform's store: `GET /-/kv-range`, in pages of at most 500 items or 1 MB."""

    page_size = 500
    page_bytes = 1_000_000

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.reads = 0
        # Ports at which the store is no longer reachable.
        self.refused_ports = set()
        self.is_away = False
        self.era = 0

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from a copy: what was written since is lost, revisions go back, and the era rises."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.era += 1
        self.is_away = False

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value if isinstance(value, bytes) else json.dumps(value).encode(), self.revision)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)

    def page(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
        rows, size = [], 0
        for key in keys[: self.page_size]:
            size += len(self.items[key][0])
            if rows and size > self.page_bytes:
                break
            rows.append({"key": key, "value": base64.b64encode(self.items[key][0]).decode(), "revision": self.items[key][1],
                         "created": self.items[key][1], "lease": 0})
        return {"items": rows, "truncated": len(rows) < len(keys), "store_revision": self.revision}

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                if self.is_away or writer.get_extra_info("sockname")[1] in self.refused_ports:
                    return
                target = urllib.parse.urlsplit(line.split(" ")[1])
                self.reads += 1
                await asyncio.sleep(0.004)
                body = json.dumps(self.page(dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True)))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                             b"Content-Length: %d\r\n\r\n" % (self.era, len(body)) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker of a service. Its answers take the time that the request's field X-Work-Ms names; a stream has X-Events
    events, and another answer X-Answer-Bytes at least."""

    def __init__(self, deployment, name, service, zone, port, slots):
        self.deployment, self.name, self.service, self.zone, self.port, self.slots = deployment, name, service, zone, port, slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrivals, self.runs = [], []
        self.server = None
        self.announcer = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=256)
        self.announce()
        self.announcer = asyncio.ensure_future(self.announce_again())

    def announce(self, state="ready"):
        self.sequence += 1
        self.deployment.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born})

    async def announce_again(self):
        while True:
            await asyncio.sleep(1.2)
            self.announce()

    def withdraw(self):
        """Removes the entry, as at a planned end of a worker that does not report that it drains."""
        self.announcer.cancel()
        self.deployment.store.remove(f"servers/{self.name}")

    def stop(self):
        """Ends the worker."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer):
        line, fields = await read_head(reader)
        await read_body(reader, fields)
        path, request_id = line.split(" ")[1], fields.get("attempt-id", "")
        record = self.deployment.record
        if fields.get("expected-instance") != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {request_id}\r\nInstance-Id: {self.name}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.arrivals.append((record.now(), request_id))
        self.runs.append((record.now(), request_id))
        record.add(f"worker {self.name} ({self.service}) runs {request_id} ({line.split(' ')[0]} {path})")
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nResponse-Seal: {self.name}.{request_id}\r\n"
                f"Server-Load: 1,0,{self.slots}\r\nKeep-Alive: timeout=10\r\n")
        work = float(fields.get("x-work-ms", "15")) / 1000
        if "x-events" not in fields:
            body = f"{self.name} ran {request_id}".encode().ljust(int(fields.get("x-answer-bytes", "0")))
            pieces = [body[at: at + 100000] for at in range(0, len(body), 100000)]
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
            for piece in pieces:
                await asyncio.sleep(work / len(pieces))
                writer.write(piece)
                await writer.drain()
            record.add(f"worker {self.name} ends {request_id}")
            return True
        last = int(fields["x-events"])
        gone = asyncio.ensure_future(reader.read(1))
        writer.write(f"{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(int(fields.get("last-event-id", "0")) + 1, last + 1):
            done, _ = await asyncio.wait({gone}, timeout=work / last)
            if done:
                gone.exception()
                record.add(f"worker {self.name} loses the connection of {request_id} before event {number} of {last}")
                return False
            event = f"id: {number}\ndata: {request_id} event {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        gone.cancel()
        record.add(f"worker {self.name} ends {request_id}")
        # A pending read may have taken a byte of a next request, so the connection is not used again.
        return False


class Router:
    def __init__(self, deployment, index, ports):
        self.deployment, self.name, self.zone = deployment, f"frontend-{ZONES[index % 3]}-{index + 1}", ZONES[index % 3]
        self.address = f"127.0.3.{index + 1}"
        self.caller_port, self.readiness_port, self.control_port, self.first_port, self.last_port = ports
        self.file = deployment.folder / f"{self.name}.toml"
        self.log = deployment.folder / f"{self.name}.log"
        self.process = None

    def write_settings(self, **changed):
        bounds = {**self.deployment.bounds, **changed}
        rows = "\n".join(f"{name} = {json.dumps(value)}" for name, value in bounds.items())
        limits = "\n".join(f"{name} = {json.dumps(value)}" for name, value in self.deployment.limits.items())
        seeds = [f"{router.address}:{router.control_port}" for router in self.deployment.routers[:3]]
        # As an operator's tool does it: the new file replaces the old one as a whole.
        new = self.file.with_suffix(".new")
        new.write_text(f"""node_name = "{self.name}"
role = "router"
machine_class = "frontend"
serves = ["frontend", "control"]
ip_address = "{self.address}"
zone = "{self.zone}"
region = "batinah"
internal_port_range = [{self.first_port}, {self.last_port}]
seeds = {json.dumps(seeds)}
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
sohar = "batinah"
saham = "batinah"
barka = "batinah"
[listen]
frontend = "{self.address}:{self.caller_port}"
readiness = "{self.address}:{self.readiness_port}"
control = "{self.address}:{self.control_port}"
[limits]
{limits}
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{rows}
[platform]
address = "127.0.0.1:{self.deployment.store_port}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_minimum_ms = 1000
""")
        os.replace(new, self.file)

    async def start(self):
        self.write_settings()
        program = ROOT / "target" / "platform" / "kumquatbeam-entry"
        if not program.exists():
            raise CannotRun("target/platform/kumquatbeam-entry is not built")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(program), cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "KUMQUATBEAM_CONFIG": str(self.file)})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.readiness_port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: readiness\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def send_signal(self, number):
        self.deployment.record.add(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)


class Deployment:
    """Four routers, a service of model workers (kumquat-desk) and one of orders (order-book)."""

    def __init__(self, record, routers=4, bounds=None, limits=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.limits = {**LIMITS, **(limits or {})}
        ports = free_ports(6 + 6)
        self.store_port = ports[0]
        self.routers = []
        for index in range(routers):
            self.routers.append(Router(self, index, (*ports[1:4], ports[4], ports[5])))
        self.store = Store(record)
        self.store_server = None
        names = [("desk", "kumquat-desk", 48), ("book", "order-book", 6)]
        self.workers = {f"i-{prefix}{number}": Worker(self, f"i-{prefix}{number}", service, ZONES[number], ports[6 + 3 * place + number], slots)
                        for place, (prefix, service, slots) in enumerate(names) for number in range(3)}
        self.version = 0

    def routes(self):
        def route(name, kind, service, timeout_ms, **more):
            return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
                    "target_latency_ms": 500, "priority": 1, "service": service, "maximum_attempts": 1, "public": False, **more}

        return [route("agent-query", "streaming", "kumquat-desk", 10000, session_affinity=True, stream_resumption=False, target_gap_ms=300),
                route("cut-schedule", "streaming", "kumquat-desk", 5000, session_affinity=True, stream_resumption=True,
                      target_gap_ms=300, maximum_attempts=2),
                route("order-confirm", "non_idempotent", "order-book", 1000, public=True),
                route("order-lookup", "idempotent", "order-book", 3000, maximum_attempts=2, public=True)]

    def put_configuration(self, routes=None, keys=(KEY,)):
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": routes or self.routes(),
            "services": [{"name": "kumquat-desk", "health_path": "/health", "connection_limit": 300, "protocol": "h1", "tls": False,
                          "engine": {"slots": 48, "kv_cache_tokens": 444000}},
                         {"name": "order-book", "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": False}],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "tokens_per_s": 330000},
            "tenants": [{"name": "weavers", "api_keys": list(keys), "priority": 1}]})
        self.record.add(f"the store acknowledges configuration {self.version}")

    async def start(self):
        self.store_server = await asyncio.start_server(self.store.serve, "127.0.0.1", self.store_port, backlog=256)
        self.put_configuration()
        for worker in self.workers.values():
            await worker.start()
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await self.wait_ready(router)

    async def wait_ready(self, router, limit=15):
        end = time.monotonic() + limit
        while not await router.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{router.name} is not ready")
            await asyncio.sleep(0.05)
        self.record.add(f"{router.name} is ready")

    async def call(self, router, request_id, method, path, deadline_ms, body=b"", key=KEY, **fields):
        """Sends a request on a new connection. Returns the status (None without an answer), the body and whether it is complete."""
        head = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Milliseconds": deadline_ms, "Authorization": f"Bearer {key}",
                "Content-Length": len(body), **{name.replace("_", "-"): value for name, value in fields.items()}}
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head.items()) + "\r\n"
        status, received, complete, writer = None, b"", False, None
        try:
            reader, writer = await asyncio.open_connection(router.address, router.caller_port)
            writer.write(text.encode() + body)
            await writer.drain()
            self.record.add(f"client sends {request_id} ({method} {path}) to {router.name}")
            line, answered = await read_head(reader)
            status = int(line.split(" ")[1])
            if answered.get("transfer-encoding", "").lower() == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    received += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readuntil(b"\r\n")
            else:
                received = await reader.readexactly(int(answered.get("content-length", "0")))
            complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            if writer:
                writer.close()
        self.record.add(f"client gets {status} for {request_id}: {received.count(b'id: ') or len(received)} "
                        f"{'events' if received.count(b'id: ') else 'bytes'}, "
                        f"{'complete' if complete else 'the connection ends without a complete answer'}")
        return status, received, complete

    async def stop(self):
        for router in self.routers:
            if router.process and router.process.returncode is None:
                router.process.kill()
            if router.process:
                await router.process.wait()
        for worker in self.workers.values():
            if worker.announcer:
                worker.announcer.cancel()
            if worker.server:
                worker.stop()
        if self.store_server:
            self.store_server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, **options):
    """Runs a case; its verdict is None if the rule held, or what was seen. Exits with 0, 1, or 2 if the case could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record.add("with the disruption" if trouble() else "without the disruption (TROUBLE=0)")

    async def play():
        deployment = Deployment(record, **options)
        try:
            await deployment.start()
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            await deployment.stop()

    code = 2
    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
        record.add(f"RULE BROKEN: {broken}" if broken else "the rule held")
    except Exception as error:  # Whatever goes wrong here says nothing about the rule.
        record.add(f"the case could not run: {type(error).__name__}: {error}")
    record.write()
    print(record.lines[-1])
    sys.exit(code)
