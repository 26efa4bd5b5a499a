"""Runs a fleet of real processes on loopback for experiments and failure tests, and stops only the processes it started.

A fleet has a platform stand-in, model engines, plain services and routers in three failure domains. Each router has its
own loopback address, so that the relay can select links by the router that opened them.
"""

import atexit
import hashlib
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
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
STANDINS = ROOT / "tests" / "standins"

# Listening ports are allocated in blocks, so that concurrent fleets never share a port. A process owns a block while it
# keeps the block's lock port bound. All of these ports lie below the kernel's ephemeral port range.
LOCK_PORTS = range(11000, 11040)
BLOCK_START, BLOCK_SIZE = 12000, 500
DOMAINS = ("north", "middle", "south")

# Short exchange periods and leases, so that scenarios need not wait long. The document's defaults are longer, to save
# control traffic.
FAST_LEASES = "beat-ms=250\nlease-ms=1500\n"


# Texts that begin a sanitizer's report, and the lines of a report that are shown.
SANITIZER_SIGNS = ("ERROR: AddressSanitizer", "ERROR: LeakSanitizer", "WARNING: ThreadSanitizer", ": runtime error: ")
REPORT_LINES = 25


def build_folder():
    """Returns the folder of the built programs: KUMQUATBEAM_BUILD, or the default preset's folder."""
    return pathlib.Path(os.environ.get("KUMQUATBEAM_BUILD", ROOT / "build" / "default"))


class PortBlock:
    """A block of ports that this process owns until it exits."""

    def __init__(self):
        self.lock_socket = None
        self.next_port = 0

    def acquire(self):
        """Acquires the first block that no other process owns."""
        for number, lock_port in enumerate(LOCK_PORTS):
            lock_socket = socket.socket()
            try:
                lock_socket.bind(("127.0.0.1", lock_port))
            except OSError:
                lock_socket.close()
                continue
            self.lock_socket = lock_socket
            self.next_port = BLOCK_START + number * BLOCK_SIZE
            return
        raise RuntimeError("all blocks of ports are in use")

    def allocate(self):
        """Returns the next port of the block."""
        if self.lock_socket is None:
            self.acquire()
        self.next_port += 1
        if (self.next_port - BLOCK_START) % BLOCK_SIZE == 0:
            raise RuntimeError("the block of ports is exhausted")
        return self.next_port


PORTS = PortBlock()


def free_ports(count, address="127.0.0.1"):
    """Returns ports on which no process listens; each port is returned only once."""
    ports = []
    while len(ports) < count:
        port = PORTS.allocate()
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def http(method, url, body=None, headers=None, timeout=10):
    """Makes one HTTP request; returns status, headers and body, for error statuses too."""
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Account:
    """A client account of the document."""

    def __init__(self, name, share=1000, queue_limit=200):
        self.name = name
        self.share = share
        self.queue_limit = queue_limit
        self.credential = f"secret-of-{name}"

    def section(self):
        digest = hashlib.sha256(self.credential.encode()).hexdigest()
        return (f"[account {self.name}]\nowner=accounts\nshare={self.share}\ncredential-sha256={digest}\n"
                f"queue-limit={self.queue_limit}\n\n")


class Router:
    """A router process with its name, domain, address and ports."""

    def __init__(self, index, domain):
        self.name = f"r{index}"
        self.domain = domain
        self.address = f"127.0.1.{index}"
        self.caller_port, self.peer_port, self.operator_port, self.relay_port = free_ports(4, self.address)
        self.process = None

    def url(self, path=""):
        return f"http://{self.address}:{self.caller_port}{path}"

    def operator_url(self, path=""):
        return f"http://{self.address}:{self.operator_port}{path}"


class Fleet:
    """A fleet of processes; a context manager starts and stops it."""

    def __init__(self, routers=5, engines=10, engine_slots=8, services=3, service_slots=4, accounts=None,
                 strategy="leased-quotas", relay=False, settings=None, model_pool=FAST_LEASES, service_pool=FAST_LEASES, log_level="info",
                 keep_logs=False, initial_peers=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquatbeam-"))
        self.keep_logs = keep_logs
        self.initial_peers = initial_peers
        self.accounts = accounts or [Account(f"account{number:02}", share) for number, share in
                                     enumerate([8000, 4000, 2000] + [1000] * 12 + [250])]
        self.strategy = strategy
        self.extra_settings = settings or {}
        self.log_level = log_level
        self.engine_slots, self.service_slots = engine_slots, service_slots
        self.model_pool, self.service_pool = model_pool, service_pool
        self.routers = [Router(index + 1, DOMAINS[index % len(DOMAINS)]) for index in range(routers)]
        self.engine_ports = free_ports(engines)
        self.service_ports = free_ports(services)
        self.use_relay = relay
        # Ports that routers connect to: those of the relay if there is one, otherwise the real ones.
        self.advertised_engine_ports = free_ports(engines) if relay else self.engine_ports
        self.advertised_service_ports = free_ports(services) if relay else self.service_ports
        self.platform_port, self.relay_control_port, platform_relay_port = free_ports(3)
        self.advertised_platform_port = platform_relay_port if relay else self.platform_port
        self.document_revision = 0
        self.members_revision = 0
        self.leaving_endpoints = set()
        self.leaving_routers = set()
        self.processes = []
        atexit.register(self.stop)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.stop_processes()
        reports = self.sanitizer_reports()
        self.stop()
        if reports:
            raise RuntimeError("a sanitizer has reported:\n" + "\n".join(reports))

    def spawn(self, name, command):
        """Starts a process that appends its output to its own log file."""
        output = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(argument) for argument in command], stdout=output, stderr=output, cwd=STANDINS)
        output.close()
        self.processes.append(process)
        return process

    def start(self):
        python = sys.executable
        self.spawn("platform", [python, "platform_service.py", "--port", self.platform_port])
        join = lambda ports: ",".join(str(port) for port in ports)
        if self.engine_ports:
            # Two processes share the engines, so that a single interpreter is not the bottleneck.
            half = (len(self.engine_ports) + 1) // 2
            for part, ports in enumerate((self.engine_ports[:half], self.engine_ports[half:])):
                if ports:
                    self.spawn(f"engines{part}", [python, "engine.py", "--ports", join(ports), "--slots", self.engine_slots])
        if self.service_ports:
            self.spawn("services", [python, "service.py", "--ports", join(self.service_ports), "--slots", self.service_slots])
        if self.use_relay:
            self.spawn("relay", [python, "relay.py", "--control", self.relay_control_port,
                                 "--links", ",".join(self.relay_links())])
        self.wait_for_port("127.0.0.1", self.platform_port)
        self.publish_members()
        self.publish_document()
        for port in self.engine_ports + self.service_ports:
            self.wait_for_port("127.0.0.1", port)
        for router in self.routers:
            self.start_router(router)
        for router in self.routers:
            self.wait_ready(router)

    def relay_links(self):
        links = [f"{router.address}:{router.relay_port}:{router.peer_port}" for router in self.routers]
        links += [f"127.0.0.1:{advertised}:{real}"
                  for advertised, real in zip(self.advertised_engine_ports, self.engine_ports)]
        links += [f"127.0.0.1:{advertised}:{real}"
                  for advertised, real in zip(self.advertised_service_ports, self.service_ports)]
        return links + [f"127.0.0.1:{self.advertised_platform_port}:{self.platform_port}"]

    def relay(self, **query):
        """Sends a command to the relay, e.g. relay(mode="cut", to=port); `from_` is the connecting router's address."""
        query_string = "&".join(f"{name.rstrip('_').replace('_', '-')}={value}" for name, value in query.items())
        http("POST", f"http://127.0.0.1:{self.relay_control_port}/control?{query_string}")

    def wait_for_port(self, address, port, timeout=20):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                socket.create_connection((address, port), timeout=1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing listens on {address}:{port}")

    def wait_ready(self, router, timeout=20):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                if http("GET", router.url("/ready"), timeout=2)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(
            f"{router.name} is not ready, exit code {router.process.poll()}: {self.read_log(router.name)[-500:]}")

    def document(self):
        """Returns the text of the configuration document for the current state."""
        text = "".join(account.section() for account in self.accounts)
        text += f"[pool model]\nowner=models\nrepeatable=yes\nresume=yes\n{self.model_pool}\n"
        text += f"[pool booking]\nowner=bookings\nrepeatable=no\n{self.service_pool}\n"
        for kind, pool, ports, slots in (("engine", "model", self.advertised_engine_ports, self.engine_slots),
                                         ("service", "booking", self.advertised_service_ports, self.service_slots)):
            for index, port in enumerate(ports):
                text += (f"[endpoint {kind}{index}]\nowner=endpoints\npool={pool}\ndomain={DOMAINS[index % len(DOMAINS)]}\n"
                         f"address=127.0.0.1\nport={port}\nslots={slots}\n\n")
        return text

    def peer_port_of(self, router):
        """Returns the port through which peers connect to a router."""
        return router.relay_port if self.use_relay else router.peer_port

    def members(self):
        """Returns the text of the member list for the current state."""
        text = ""
        for router in self.routers:
            port = self.peer_port_of(router)
            leaving = "yes" if router.name in self.leaving_routers else "no"
            text += (f"[entry-vm {router.name}]\ndomain={router.domain}\naddress={router.address}\npeer-port={port}\n"
                     f"leaving={leaving}\n\n")
        for name in sorted(self.leaving_endpoints):
            text += f"[endpoint {name}]\nleaving=yes\n\n"
        return text

    def publish(self, resource, revision, text):
        http("POST", f"http://127.0.0.1:{self.platform_port}/control/publish?what={resource}&revision={revision}",
             text.encode())

    def publish_document(self, text=None):
        self.document_revision += 1
        self.publish("document", self.document_revision, text if text is not None else self.document())

    def publish_members(self):
        self.members_revision += 1
        self.publish("members", self.members_revision, self.members())

    def platform_mode(self, **query):
        query_string = "&".join(f"{name.replace('_', '-')}={value}" for name, value in query.items())
        http("POST", f"http://127.0.0.1:{self.platform_port}/control/mode?{query_string}")

    def platform_counts(self):
        return json.loads(http("GET", f"http://127.0.0.1:{self.platform_port}/control/counts")[2])

    def settings_of(self, router):
        values = {
            "entry-vm": router.name, "domain": router.domain, "source-address": router.address,
            "caller-address": router.address, "caller-port": router.caller_port,
            "peer-address": router.address, "peer-port": router.peer_port,
            "operator-address": router.address, "operator-port": router.operator_port,
            "platform-address": "127.0.0.1", "platform-port": self.advertised_platform_port,
            "strategy": self.strategy, "log-level": self.log_level, **self.extra_settings}
        text = "[router]\n" + "".join(f"{key}={value}\n" for key, value in values.items())
        if self.initial_peers:
            text += "".join(f"[peer {peer.name}]\ndomain={peer.domain}\naddress={peer.address}\n"
                            f"peer-port={self.peer_port_of(peer)}\n" for peer in self.routers if peer is not router)
        return text

    def start_router(self, router):
        path = self.folder / f"{router.name}.ini"
        path.write_text(self.settings_of(router))
        program = build_folder() / "apps" / "kumquatbeam-router"
        router.process = self.spawn(router.name, [program, f"--settings={path}"])

    def kill(self, router):
        router.process.kill()
        router.process.wait()

    def freeze(self, router):
        router.process.send_signal(signal.SIGSTOP)

    def thaw(self, router):
        router.process.send_signal(signal.SIGCONT)

    def terminate(self, router):
        router.process.send_signal(signal.SIGTERM)

    def status(self, router):
        return json.loads(http("GET", router.operator_url("/status"))[2])

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def engine_control(self, index, **query):
        self.control(self.engine_ports[index], query)

    def service_control(self, index, **query):
        self.control(self.service_ports[index], query)

    def control(self, port, query):
        query_string = "&".join(f"{name.replace('_', '-')}={value}" for name, value in query.items())
        http("POST", f"http://127.0.0.1:{port}/control?{query_string}")

    def engine_counts(self):
        return [json.loads(http("GET", f"http://127.0.0.1:{port}/counts")[2]) for port in self.engine_ports]

    def service_counts(self):
        return [json.loads(http("GET", f"http://127.0.0.1:{port}/counts")[2]) for port in self.service_ports]

    def call(self, router, account, pool, target, body, timeout=30, method="POST", **headers):
        """Sends one call with the account's credential; keyword arguments become header fields."""
        fields = {"Authorization": f"Bearer {account.credential}", "Content-Type": "text/plain",
                  **{name.replace("_", "-"): value for name, value in headers.items()}}
        return http(method, router.url(f"/v1/call/{pool}{target}"), body.encode(), fields, timeout)

    def ticket(self, router, account, pool="booking"):
        """Requests an order ticket from a router and returns it."""
        fields = {"Authorization": f"Bearer {account.credential}"}
        return http("POST", router.url(f"/v1/tickets/{pool}"), b"", fields)[1]["Kumquatbeam-Ticket"]

    def sanitizer_reports(self):
        """Returns the reports of sanitizers in the processes' logs, each cut to its first lines."""
        reports = []
        for log in sorted(self.folder.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            reports += [f"{log.name}: " + "\n".join(lines[number:number + REPORT_LINES])
                        for number, line in enumerate(lines) if any(sign in line for sign in SANITIZER_SIGNS)]
        return reports

    def stop_processes(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.processes = []

    def stop(self):
        self.stop_processes()
        if not self.keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)
