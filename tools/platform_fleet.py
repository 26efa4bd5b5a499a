"""A fleet on a stand-in for the users' platform: store, workers and entry routers as processes on loopback."""

import http.client
import json
import signal
import socket
import threading
import time

import fleet

DOMAINS = ("sohar", "saham", "barka")
HOST = "desk.example"

# File descriptors that a router may use; 0.6 of them are available to callers.
FILE_DESCRIPTOR_LIMIT = 1000

# Memory that a router may use.
MEMORY_LIMIT_MB = 400


class Caller:
    """A caller with one connection to a router."""

    def __init__(self, router, timeout=15):
        self.router = router
        self.connection = http.client.HTTPConnection(router.address, router.caller_port, timeout=timeout)

    def send(self, request_id, path, method="POST", body=b"", key="key-weavers", deadline_ms=8000, **fields):
        headers = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Milliseconds": str(deadline_ms),
                   **{name.replace("_", "-"): str(value) for name, value in fields.items()}}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        self.connection.request(method, path, body, headers)

    def receive(self):
        """Returns status, header fields and body; the body is None if the answer was truncated."""
        response = self.connection.getresponse()
        try:
            return response.status, response.headers, response.read()
        except (http.client.IncompleteRead, ConnectionError, ValueError):
            return response.status, response.headers, None

    def call(self, request_id, path, **options):
        self.send(request_id, path, **options)
        return self.receive()

    def close(self):
        self.connection.close()


class EntryRouter:
    def __init__(self, index, domain, ports):
        self.name = f"entry{index}"
        self.domain = domain
        self.address = f"127.0.2.{index}"
        self.caller_port, self.readiness_port, self.first_internal_port, self.last_internal_port = ports
        self.process = None


class PlatformFleet(fleet.Fleet):
    """A fleet of the platform's processes; fleet.Fleet provides the handling of processes, files and timeouts."""

    def __init__(self, routers=2, engines=3, plain_workers=2, memory_mb=MEMORY_LIMIT_MB, file_descriptors=FILE_DESCRIPTOR_LIMIT):
        super().__init__(routers=0, engines=0, services=0)
        self.memory_mb, self.file_descriptors = memory_mb, file_descriptors
        ports = fleet.free_ports(4)
        ports[2:] = sorted(ports[2:])
        self.routers = [EntryRouter(index + 1, DOMAINS[index % len(DOMAINS)], ports) for index in range(routers)]
        self.store_port = fleet.free_ports(1)[0]
        self.workers = {f"{kind}{index}": port for kind, count in (("engine", engines), ("plain", plain_workers))
                        for index, port in enumerate(fleet.free_ports(count))}
        self.version = 0
        self.keys = {"weavers": ["key-weavers"], "builders": ["key-builders"]}
        self.extra_routes = []

    def start(self):
        import sys
        self.spawn("store", [sys.executable, "platform_store.py", "--port", self.store_port])
        worker_list = ",".join(f"{name}:{port}" for name, port in self.workers.items())
        self.spawn("workers", [sys.executable, "platform_worker.py", "--workers", worker_list])
        self.wait_for_port("127.0.0.1", self.store_port)
        self.publish_routes()
        for name, port in self.workers.items():
            self.wait_for_port("127.0.0.1", port)
            self.announce(name)
        for router in self.routers:
            self.start_router(router)
        for router in self.routers:
            self.wait_ready(router)

    def store(self, path, body=b"", **query):
        query_string = "&".join(f"{name.replace('_', '-')}={value}" for name, value in query.items())
        return json.loads(fleet.http("POST", f"http://127.0.0.1:{self.store_port}/control/{path}?{query_string}", body)[2])

    def publish_routes(self):
        self.version += 3

        def route(name, kind, service, **more):
            return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 8000,
                    "target_latency_ms": 600, "priority": 1, "service": service, "maximum_attempts": 2, "public": False, **more}

        routes = [route("lookup", "idempotent", "book"), route("order", "non_idempotent", "book"),
                  route("quote", "streaming", "desk"), route("plan", "streaming", "desk", stream_resumption=True),
                  route("open", "idempotent", "book", public=True), *self.extra_routes]
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": "desk", "engine": {"slots": 48, "kv_cache_tokens": 444000}}, {"name": "book"}],
                  "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                             "tokens_per_s": 330000},
                  "tenants": [{"name": name, "api_keys": keys} for name, keys in self.keys.items()]}
        self.store("put", json.dumps(config).encode(), key="op/config")

    def announce(self, name, state="ready", **changes):
        entry = {"service": "desk" if name.startswith("engine") else "book", "address": f"127.0.0.1:{self.workers[name]}",
                 "zone": "sohar", "version": "v1", "slots": 48 if name.startswith("engine") else 6, "state": state,
                 "cold_remaining_ms": 0, "sequence": 1, "born": 1, **changes}
        self.store("put", json.dumps(entry).encode(), key=f"servers/{name}")

    def withdraw(self, name):
        self.store("delete", key=f"servers/{name}")

    def settings_of(self, router):
        seeds = ", ".join(f'"{other.address}:1"' for other in self.routers[:3])
        return f"""node_name = "{router.name}"
ip_address = "{router.address}"
zone = "{router.domain}"
internal_port_range = [{router.first_internal_port}, {router.last_internal_port}]
seeds = [{seeds}]
a_field_to_come = 1
[listen]
frontend = "{router.address}:{router.caller_port}"
readiness = "{router.address}:{router.readiness_port}"
[limits]
file_descriptors = {self.file_descriptors}
memory_mb = {self.memory_mb}
[bounds]
revocation_ms = 5000
grace_period_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 40
[platform]
address = "127.0.0.1:{self.store_port}"
"""

    def start_router(self, router):
        path = self.folder / f"{router.name}.toml"
        path.write_text(self.settings_of(router))
        router.process = self.spawn(router.name, [fleet.build_folder() / "platform" / "kumquatbeam-entry", f"--settings={path}"])

    def is_ready(self, router):
        try:
            url = f"http://{router.address}:{router.readiness_port}/-/readiness"
            return fleet.http("GET", url, timeout=2)[0] == 200
        except OSError:
            return False

    def wait_ready(self, router, timeout=20):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self.is_ready(router):
                return
            time.sleep(0.05)
        raise RuntimeError(f"{router.name} is not ready: {self.read_log(router.name)[-500:]}")

    def reload(self, router):
        router.process.send_signal(signal.SIGHUP)

    def worker_record(self, name):
        return json.loads(fleet.http("GET", f"http://127.0.0.1:{self.workers[name]}/control/seen")[2])

    def workers_that_ran(self, request_id):
        return [name for name in self.workers for run in self.worker_record(name)["runs"] if run == request_id]

    def arrivals_of(self, request_id):
        return [arrival for name in self.workers for arrival in self.worker_record(name)["arrivals"]
                if arrival["id"] == request_id]


def raw_exchange(router, data, timeout=5):
    """Sends raw bytes; returns what arrives until the router closes the connection or sends nothing for `timeout` seconds."""
    with socket.create_connection((router.address, router.caller_port), timeout=timeout) as connection:
        connection.sendall(data)
        answer = b""
        try:
            while chunk := connection.recv(65536):
                answer += chunk
        except socket.timeout:
            pass
        return answer


def in_background(function, *arguments):
    """Runs a function on a thread; returns a function that waits for its result."""
    result = []
    thread = threading.Thread(target=lambda: result.append(function(*arguments)), daemon=True)
    thread.start()

    def wait():
        thread.join()
        return result[0] if result else None

    return wait
