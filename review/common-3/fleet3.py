"""A small fleet on loopback for the scripts of this review: a store, workers and entry routers as separate processes."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
ZONES = ("sohar", "saham", "barka")

# Bounds of sites/saafi-orders.toml.
DRAIN_S = 2.0
CONFIG_S = 2.0
REVOCATION_S = 5.0


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def free_ports(count, address="127.0.0.1"):
    """Returns ports in ascending order that were free a moment ago."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((address, 0))
    ports = sorted(probe.getsockname()[1] for probe in probes)
    for probe in probes:
        probe.close()
    return ports


def read_message(connection):
    """Reads the head of an HTTP message; returns the start line, the fields and the bytes behind the head."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            raise ConnectionError(f"the connection ended after {data!r}")
        data += chunk
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    return lines[0], {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}, rest


def request_bytes(method, path, request_id, key, deadline_ms=4000, body=b"", connection="keep-alive"):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\nDeadline-Milliseconds: {deadline_ms}\r\n"
            f"Authorization: Bearer {key}\r\nConnection: {connection}\r\n{length}\r\n").encode() + body


class Fleet:
    """Starts processes, and ends exactly these when it is left. Writes `record.txt` into the folder of the case."""

    def __init__(self, case_folder, routers=2):
        self.record_file = open(pathlib.Path(case_folder) / "record.txt", "w", buffering=1)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquatbeam-review-"))
        self.began = time.monotonic()
        self.processes = []
        self.workers = {}
        self.version = 0
        self.routes, self.services, self.tenants = [], [], {}
        self.body_bytes, self.memory_mb, self.file_descriptors = 4194304, 390, 6150
        self.store_port = free_ports(1)[0]
        self.routers = []
        for number in range(1, routers + 1):
            address = f"127.0.3.{number}"
            frontend, readiness, first, last = free_ports(4, address)
            self.routers.append({"name": f"frontend-{ZONES[(number - 1) % 3]}-{number}", "address": address, "frontend": frontend,
                                 "readiness": readiness, "first": first, "last": last, "zone": ZONES[(number - 1) % 3]})

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for path in sorted(self.folder.glob("worker-*.jsonl")):
            self.note(f"--- {path.name}")
            self.record_file.write(path.read_text())
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s (steady {time.monotonic():.3f})  {text}"
        self.record_file.write(line + "\n")

    def spawn(self, name, command, **more):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(word) for word in command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, **more)
        log.close()
        self.processes.append(process)
        return process

    def wait_port(self, address, port, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                socket.create_connection((address, port), timeout=1).close()
                return
            except OSError:
                time.sleep(0.02)
        raise CannotRun(f"nothing listens on {address}:{port}")

    def start_store(self):
        self.spawn("store", [sys.executable, ROOT / "tests/standins/platform_store.py", "--port", self.store_port])
        self.wait_port("127.0.0.1", self.store_port)

    def store(self, path, body=b""):
        with socket.create_connection(("127.0.0.1", self.store_port), timeout=5) as connection:
            connection.sendall(f"POST /control/{path} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            read_message(connection)

    def publish(self):
        """Writes the configuration; the return is its acknowledgement."""
        self.version += 3
        config = {"version": self.version, "routes": self.routes, "services": self.services,
                  "limits": {"header_bytes": 16384, "body_bytes": self.body_bytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                             "tokens_per_s": 330000},
                  "tenants": [{"name": name, "api_keys": keys, "priority": 1} for name, keys in self.tenants.items()]}
        self.store("put?key=op%2Fconfig", json.dumps(config).encode())
        self.note(f"the store has acknowledged configuration {self.version}, keys {self.tenants}")

    def start_worker(self, name, service, **options):
        port = self.workers.setdefault(name, {"port": free_ports(1)[0]})["port"]
        arguments = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        process = self.spawn(f"worker-{name}", [
            sys.executable, HERE / "worker.py", "--id", name, "--service", service, "--listen", f"127.0.0.1:{port}", "--store",
            f"127.0.0.1:{self.store_port}", "--record", self.folder / f"worker-{name}.jsonl", *arguments])
        self.workers[name]["process"] = process
        self.wait_port("127.0.0.1", port)
        self.note(f"worker {name} starts {options}")
        return process

    def worker_records(self, name):
        path = self.folder / f"worker-{name}.jsonl"
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    def settings(self, router):
        seeds = ", ".join(f'"{other["address"]}:{other["last"]}"' for other in self.routers[:3])
        return f"""node_name = "{router['name']}"
role = "router"
machine_class = "frontend"
serves = ["frontend","control"]
ip_address = "{router['address']}"
zone = "{router['zone']}"
region = "batinah"
internal_port_range = [{router['first']},{router['last']}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
sohar = "batinah"
saham = "batinah"
barka = "batinah"
[listen]
frontend = "{router['address']}:{router['frontend']}"
readiness = "{router['address']}:{router['readiness']}"
control = "{router['address']}:{router['last']}"
[limits]
cpu_share = 0.38
cores = 1
memory_mb = {self.memory_mb}
file_descriptors = {self.file_descriptors}
link_mbps = 1500.0
disk_mb = 0
[bounds]
stability_window_ms = 3000
acknowledge_ms = 4000
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
configuration_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
strict_revocation = true
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
[platform]
address = "127.0.0.1:{self.store_port}"
form = "read"
"""

    def start_routers(self):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["router"]["run"].split()
        for router in self.routers:
            path = self.folder / f"{router['name']}.toml"
            path.write_text(self.settings(router))
            router["process"] = self.spawn(router["name"], [ROOT / command[0], *command[1:]],
                                           env={"PATH": os.environ["PATH"], "KUMQUATBEAM_CONFIG": str(path)})
        for router in self.routers:
            self.wait_ready(router)
        self.note("all routers are ready")

    def is_ready(self, router):
        try:
            with socket.create_connection((router["address"], router["readiness"]), timeout=1) as connection:
                connection.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return read_message(connection)[0].split()[1] == "200"
        except OSError:
            return False

    def wait_ready(self, router, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.is_ready(router):
                return
            time.sleep(0.05)
        raise CannotRun(f"{router['name']} does not become ready")

    def connect(self, router, timeout=10):
        return socket.create_connection((router["address"], router["frontend"]), timeout=timeout)


def run_case(main):
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = main(trouble)
    except (CannotRun, OSError, ValueError, KeyError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
