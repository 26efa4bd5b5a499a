"""A small deployment on loopback for the cases of the review: the project's stand-in of the store, workers, and entry
routers that are started by the deploy file's command. Settings and configuration follow the site radios-ba."""

import json
import os
import pathlib
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

import platform_fleet  # noqa: E402

HOST = platform_fleet.HOST
KEY = "key-weavers"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.line(f"TROUBLE={1 if TROUBLE else 0}")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Deployment(platform_fleet.PlatformFleet):
    """`worker_program` is the stand-in of the workers; it is started with --workers NAME:PORT,... and
    `worker_arguments`. Its output goes to the log `workers`."""

    def __init__(self, worker_program, worker_arguments=(), **counts):
        super().__init__(**counts)
        self.worker_program = pathlib.Path(worker_program).resolve()
        self.worker_arguments = worker_arguments
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["router"]["run"].split()

    def start(self):
        self.spawn("store", [sys.executable, "platform_store.py", "--port", self.store_port])
        worker_list = ",".join(f"{name}:{port}" for name, port in self.workers.items())
        self.spawn("workers", [sys.executable, self.worker_program, "--workers", worker_list, *self.worker_arguments])
        self.wait_for_port("127.0.0.1", self.store_port)
        self.publish_routes()
        for name, port in self.workers.items():
            self.wait_for_port("127.0.0.1", port)
            self.announce(name)
        for router in self.routers:
            self.start_router(router)
        for router in self.routers:
            self.wait_ready(router)

    def configuration(self):
        """The configuration of the current version."""

        def route(name, kind, service, timeout_ms, target_ms, attempts, **more):
            return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
                    "target_latency_ms": target_ms, "priority": 1, "service": service, "maximum_attempts": attempts,
                    "public": False, **more}

        # Kinds, time-outs, targets and attempts of the site's requests.
        routes = [route("full-wheel-plan", "streaming", "desk", 8000, 600, 1, target_gap_ms=300, session_affinity=True),
                  route("lacing-advice", "streaming", "desk", 5000, 600, 2, target_gap_ms=300, session_affinity=True,
                        stream_resumption=True),
                  route("spoke-order", "non_idempotent", "book", 1200, 150, 1),
                  route("build-lookup", "idempotent", "book", 1200, 150, 2)]
        return {"version": self.version, "routes": routes,
                  "services": [{"name": "desk", "engine": {"slots": 48, "kv_cache_tokens": 444000}}, {"name": "book"}],
                  "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000, "tokens_per_s": 330000},
                  "tenants": [{"name": name, "api_keys": keys} for name, keys in self.keys.items()]}

    def publish_routes(self):
        self.version += 3
        config = self.configuration()
        self.store("put", json.dumps(config).encode(), key="op/config")

    def store_port_of(self, _router):
        """Port at which a router reaches the store; a case may put a proxy there."""
        return self.store_port

    def settings_of(self, router):
        seeds = ", ".join(f'"{other.address}:8785"' for other in self.routers[:3])
        return f"""node_name = "{router.name}"
role = "router"
machine_class = "frontend"
serves = ["frontend", "control"]
ip_address = "{router.address}"
zone = "{router.domain}"
region = "batinah"
internal_port_range = [{router.first_internal_port}, {router.last_internal_port}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
[listen]
frontend = "{router.address}:{router.caller_port}"
readiness = "{router.address}:{router.readiness_port}"
[limits]
cpu_share = 0.5
cores = 1
memory_mb = 520
file_descriptors = 8200
link_mbps = 2000.0
[bounds]
stability_window_ms = 3000
acknowledge_ms = 4000
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
configuration_apply_ms = 2000
strict_revocation = true
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
[platform]
address = "127.0.0.1:{self.store_port_of(router)}"
form = "read"
reads_per_s = 2000
"""

    def start_router(self, router):
        """Starts a router as the platform does: in the repository root, with the settings file in the environment."""
        path = self.folder / f"{router.name}.toml"
        path.write_text(self.settings_of(router))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["KUMQUATBEAM_CONFIG"] = str(path)
        with open(self.folder / f"{router.name}.log", "ab") as output:
            router.process = subprocess.Popen(self.command, stdout=output, stderr=output, cwd=ROOT, env=environment)
        self.processes.append(router.process)


def run(case):
    """Runs a case and returns its exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    if not (ROOT / "target" / "platform" / "kumquatbeam-entry").exists():
        print("the build of the deploy file is missing")
        return NOT_RUN
    try:
        return case()
    except (OSError, RuntimeError, ValueError) as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN
