"""Calls of every kind go through entry routers on a stand-in of the users' platform, while workers misbehave, callers leave,
the store fails and routers are told to reload and to stop."""

import pathlib
import subprocess
import sys
import tempfile
import time

import platform_fleet
from checks import Checks
from platform_fleet import Caller, in_background, raw_exchange


TRACER = pathlib.Path(__file__).resolve().parents[2] / "tools" / "trace-request"


def expected_events(request_id, last):
    return "".join(f"id: {number}\ndata: {request_id} event {number}\n\n" for number in range(1, last + 1)).encode()


def check_kinds(checks, running, router):
    caller = Caller(router)
    status, fields, body = caller.call("k1", "/lookup/a?b=c", method="GET")
    checks.true("an idempotent call is answered whole", status == 200 and body.endswith(b"GET /lookup/a 0"), body)
    checks.true("with the worker's seal", fields["Response-Seal"].endswith(".k1"))
    status, _, body = caller.call("k2", "/order/", body=b"x" * 70000)
    checks.true("a call that may run once is answered, on the same connection", status == 200 and body.endswith(b" 70000"), body)
    status, _, body = caller.call("k3", "/quote/1", Model="m", Token_Counts="1000,50", Prompt_Prefix="a1:800,b2:200", X_Events=5)
    checks.equal("a stream arrives event by event", (status, body), (200, expected_events("k3", 5)))
    arrival = running.arrivals_of("k3")[0]["headers"]
    checks.equal("the worker gets the account's name", arrival.get("tenant"), "weavers")
    checks.true("and not its key", "authorization" not in arrival)
    checks.true("and less time than the caller has", int(arrival["deadline-milliseconds"]) <= 8000)
    status, _, _ = caller.call("k4", "/open/1", method="GET", key=None, Tenant="forged", Hold="x")
    arrival = running.arrivals_of("k4")[0]["headers"]
    checks.equal("a public route needs no key", status, 200)
    checks.true("what only a router may set is dropped", "tenant" not in arrival and "hold" not in arrival)


def check_refusals(checks, running, router):
    caller = Caller(router)
    checks.equal("an unknown key is refused", caller.call("r1", "/lookup/1", key="wrong")[0], 401)
    checks.equal("an unknown path is refused", Caller(router).call("r2", "/nowhere/1")[0], 404)
    head = b"POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-weavers\r\nAttempt-Id: %s\r\n"
    hidden = b"POST /order/2 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-weavers\r\nAttempt-Id: hidden\r\n\r\n"
    for number, framing in enumerate((b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", b"Transfer-Encoding: xchunked\r\n",
                                      b"Content-Length: 5\r\nContent-Length: 60\r\n", b"Content-Length: +5\r\n",
                                      b"Transfer-Encoding: identity, chunked\r\n", b"Host: other\r\n")):
        request_id = b"smuggle%d" % number
        answer = raw_exchange(router, head % request_id + framing + b"\r\n0\r\n\r\n" + hidden, timeout=1)
        checks.true(f"an unclear frame is refused ({framing.split(b':')[0].decode()} {number})", answer.startswith(b"HTTP/1.1 400"),
                    answer[:40])
    checks.equal("nothing smuggled reaches a worker", running.arrivals_of("hidden"), [])


def check_faults(checks, running, router):
    for fault, path, status, runs in (("refuse", "/order/1", 200, 1), ("fail", "/lookup/1", 200, 2),
                                      ("fail", "/order/1", 500, 1), ("foreign", "/order/1", 200, 1), ("extra", "/order/1", 200, 1),
                                      ("close-ended", "/order/1", 200, 1), ("truncate", "/order/1", 502, 1),
                                      ("truncate", "/lookup/1", 200, 2), ("unsealed", "/order/1", 502, 1),
                                      ("refuse", "/quote/1", 200, 1), ("truncate", "/quote/1", 200, 1),
                                      ("misdirect", "/order/1", 200, 1)):
        request_id = f"{fault}-{path.split('/')[1]}"
        extra = {"X_Events": 8} if path == "/quote/1" else {}
        actual, _, body = Caller(router).call(request_id, path, X_Fault=fault, **extra)
        checks.equal(f"{request_id}: status", actual, status)
        checks.equal(f"{request_id}: runs", len(running.workers_that_ran(request_id)), runs)
        if request_id == "truncate-quote":
            checks.equal("a stream that breaks off does not look whole", body, None)
        elif status == 200 and path != "/quote/1":
            checks.true(f"{request_id}: the answer is its own", b"not yours" not in body and b"/1 0" in body, body)
        actual, _, body = Caller(router).call(request_id + "-next", path.replace("quote", "lookup"))
        checks.true(f"{request_id}: the next call gets its own answer", actual == 200 and b"not yours" not in body, body)
    for fault in ("inside", "truncate"):
        status, fields, body = Caller(router).call(f"plan-{fault}", "/plan/1", X_Events=9, X_Fault=fault)
        checks.equal(f"a stream that breaks off ({fault}) goes on elsewhere, each event once", (status, body),
                     (200, expected_events(f"plan-{fault}", 9)))
        runs = running.workers_that_ran(f"plan-{fault}")
        checks.true("at two workers, under the first one's seal", len(set(runs)) == 2 and fields["Response-Seal"].startswith(runs[0]) or
                    fields["Response-Seal"].split(".")[0] in runs, runs)


def check_caller_disconnects(checks, running, router):
    for name, extra in (("leaver", b""), ("pipeliner", b"GET /lookup/9 HTTP/1.1\r\n")):
        caller = Caller(router)
        caller.send(name, "/quote/1", X_Events=200, X_Pause_Ms=20)
        time.sleep(0.3)
        caller.connection.sock.sendall(extra)
        time.sleep(0.1)
        caller.close()
        disconnected_at = time.monotonic()
        time.sleep(1)
        cancel_times = [running.worker_record(worker)["left"].get(name) for worker in running.workers]
        delays = [at - disconnected_at for at in cancel_times if at is not None]
        checks.true(f"a {name}'s run is given up within half a second", delays and delays[0] < 0.5, delays)


def check_endpoints(checks, running, router):
    running.announce("plain0", state="draining")
    time.sleep(2)
    for number in range(6):
        Caller(router).call(f"drained{number}", "/lookup/1")
    arrivals = [arrival["id"] for arrival in running.worker_record("plain0")["arrivals"]]
    checks.true("a draining worker gets nothing after two seconds",
                not any(arrived.startswith("drained") for arrived in arrivals))
    running.announce("plain0", state="ready", born=2)
    running.store("put", b"\xff no entry", key="servers/broken")
    time.sleep(1.5)
    checks.equal("an entry that cannot be read does no harm", Caller(router).call("after-broken", "/lookup/1")[0], 200)
    connections = sum(running.worker_record(name)["connections"] for name in running.workers)
    caller = Caller(router)
    for number in range(20):
        caller.call(f"kept{number}", "/lookup/1", method="GET")
    # Reading the counts takes a connection to each worker, twice.
    made = sum(running.worker_record(name)["connections"] for name in running.workers) - connections - len(running.workers)
    checks.at_most("connections to workers are kept for further calls", made, 2)


def check_store(checks, running, router):
    running.keys["builders"] = []
    running.publish_routes()
    time.sleep(2)
    checks.equal("a key that was taken away is refused", Caller(router).call("revoked", "/lookup/1", key="key-builders")[0], 401)
    checks.equal("others go on", Caller(router).call("kept-key", "/lookup/1")[0], 200)
    running.store("mode", down="yes")
    time.sleep(3)
    checks.equal("without the store, callers are served for a while", Caller(router).call("outage1", "/lookup/1")[0], 200)
    time.sleep(2.2)
    checks.true("a router that cannot confirm its keys is not ready", not running.is_ready(router))
    status, fields, _ = Caller(router).call("outage2", "/lookup/1")
    checks.true("and refuses keys, saying when to come back", status == 503 and float(fields["Retry-After"]) > 0, status)
    checks.equal("a refused call did not reach a worker", running.arrivals_of("outage2"), [])
    checks.equal("public routes go on", Caller(router).call("outage3", "/open/1", key=None)[0], 200)
    running.store("mode")
    running.wait_ready(router, timeout=3)
    checks.equal("with the store back, keys are accepted again", Caller(router).call("outage4", "/lookup/1")[0], 200)


def check_reload_and_shutdown(checks, running, router):
    stream = in_background(lambda: Caller(router).call("through", "/quote/1", X_Events=100, X_Pause_Ms=40))
    time.sleep(0.5)
    running.reload(router)
    time.sleep(0.5)
    checks.true("a router goes on after it was told to reload", router.process.poll() is None)
    checks.true("and says so", "settings: reloaded" in running.read_log(router.name))
    running.terminate(router)
    time.sleep(0.3)
    checks.true("a router that is told to stop is not ready", not running.is_ready(router))
    checks.equal("it serves what still comes", Caller(router).call("late", "/lookup/1")[0], 200)
    status, _, body = stream()
    checks.equal("a stream that runs is finished", (status, body), (200, expected_events("through", 100)))
    checks.equal("a shutdown ends with code 0", router.process.wait(20), 0)


def check_connection_limit(checks, running, router):
    callers = [Caller(router) for _ in range(platform_fleet.FILE_DESCRIPTOR_LIMIT * 6 // 10 * 6 // 10)]
    kept = [caller.call(f"crowd-{number}", "/nowhere/1")[1]["Connection"] != "close" for number, caller in enumerate(callers)]
    checks.true("connections are kept while there is room", all(kept[:100]))
    checks.true("a reply closes its connection when callers have more than half of the room", not any(kept[-30:]), kept.count(True))
    for caller in callers:
        caller.close()
    checks.equal("other callers go on", Caller(router).call("after-crowd", "/lookup/1")[0], 200)


def trace_request(running, router, request_id):
    """What tools/trace-request says of a request."""
    with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
        log.write(running.read_log(router.name))
        log.flush()
        completed = subprocess.run([sys.executable, TRACER, request_id, log.name], capture_output=True, text=True,
                                   check=False)
    return completed.stdout


def check_request_traces(checks, running, router):
    """The three walks of docs/OPERATIONS.md, from a request's id to its cause."""
    for request_id, kind, expected in (
            ("outage2", "refused as not run", ("key: refused", "failure=keys-stale", "source: failure=platform-unreachable", "age-ms=")),
            ("truncate-order", "of unknown outcome", ("placement:", "kind=unknown", "failure=endpoint-broke", "attempts=1")),
            ("truncate-quote", "whose stream broke off", ("placement:", "outcome:", "failure=endpoint-broke", "attempts=1"))):
        trace = trace_request(running, router, request_id)
        for text in expected:
            checks.true(f"the log of a request {kind} says {text}", text in trace, "" if text in trace else trace)
    checks.equal("nothing is told of a request that never came", trace_request(running, router, "never-came"), "")


def main():
    checks = Checks("platform path")
    with platform_fleet.PlatformFleet() as running:
        router, other = running.routers
        check_kinds(checks, running, router)
        check_refusals(checks, running, router)
        check_faults(checks, running, router)
        check_caller_disconnects(checks, running, router)
        check_endpoints(checks, running, router)
        check_store(checks, running, router)
        check_request_traces(checks, running, router)
        check_connection_limit(checks, running, router)
        checks.true("routers have heard each other", f"fleet: heard {other.name}" in running.read_log(router.name))
        check_reload_and_shutdown(checks, running, router)
        checks.equal("the other router goes on", Caller(other).call("other", "/lookup/1")[0], 200)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
