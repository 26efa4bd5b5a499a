"""Brings about the failures that operators of similar systems have reported, over real entry routers on a stand-in for the
users' platform, and checks that none of them happens here."""

import http.client
import json
import os
import socket
import struct
import sys
import time
import urllib.parse

import platform_fleet
from checks import Checks
from platform_fleet import Caller, in_background, raw_exchange

# Memory that a router may gain while answers and requests without end arrive: their buffers of 64 KiB, the answers that are
# buffered up to 4 MiB each, and what the allocator keeps.
MEMORY_GROWTH_LIMIT_KIB = 32 * 1024

# Sanitizers keep several bytes for each byte of the program, so the bound on hoarded answers says nothing there.
SANITIZED = "KUMQUATBEAM_SANITIZED" in os.environ

# Answers without end that arrive at the same time: together, they are larger than the memory of the process; with the slower
# sanitized programs, than the memory for incomplete answers.
HOARDED_ANSWERS = 40 if SANITIZED else 120

# Memory for answers that are still incomplete: a quarter of the process's memory.
ANSWER_MEMORY_KIB = platform_fleet.MEMORY_LIMIT_MB * 1024 // 4

# More than the kernel buffers for a worker that does not read, and within the limit of a request's body.
LONG_UPLOAD = b"x" * 4_000_000

# Size of the largest value that the store takes.
STORE_VALUE_BYTES = 1024 * 1024

# Memory that a router may gain while a value of that size is read: 8 bytes for each byte of the page, which has it in base64,
# and what the calls beside it take.
READ_GROWTH_LIMIT_KIB = 16 * 1024

# Time within which an entry is read, with the settings of this fleet.
READ_SECONDS = 2.5

# Time within which an answer without end is given up, from the stated limits: it fills a buffer within a moment, and the rest
# of a refusal or of another call's answer is read for half a second at most.
ENDLESS_LIMIT_SECONDS = 3


def expected_events(request_id, last):
    return "".join(f"id: {number}\ndata: {request_id} event {number}\n\n" for number in range(1, last + 1)).encode()


def status_kib(router, field):
    """A size that the kernel states for the router's process, in KiB."""
    with open(f"/proc/{router.process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(field + ":"))


def memory_of(router):
    """Resident memory of the router's process, in KiB."""
    return status_kib(router, "VmRSS")


def check_serving(checks, running, router, name):
    """Checks that the router still runs and gives a caller its own answer."""
    checks.true(f"the router runs after {name}", router.process.poll() is None)
    status, _, body = Caller(router).call(f"after-{name}", "/lookup/1")
    checks.true(f"the next caller after {name} gets its own answer", status == 200 and b"/lookup/1" in body, status)


def check_second_copy(checks, running, router):
    """A server sent a second copy of an answer, late, on a connection that was in use again."""
    for number in range(6):
        caller = Caller(router)
        status, _, body = caller.call(f"copy{number}", "/lookup/first", X_Fault="copy-late")
        checks.true(f"the answer before its copy is whole ({number})", status == 200 and b"/lookup/first" in body)
        # Longer than the delay of the copy, so that it arrives where this call's answer is due.
        status, _, body = caller.call(f"next{number}", "/lookup/second", X_Pause_Ms=150)
        checks.true(f"a call after a late copy gets its own answer ({number})", status == 200 and b"/lookup/second" in body, body)


def check_slow_and_stalled_streams(checks, running, router):
    """Slow but sound streams were cut, and stalled ones that sent a byte now and then never ended."""
    slow = in_background(lambda: Caller(router).call("slow", "/quote/1", X_Events=5, X_Pause_Ms=1200))
    started = time.monotonic()
    try:
        status, _, body = Caller(router, timeout=8).call("stalled", "/quote/1", X_Events=5, X_Fault="stall", deadline_ms=3000)
    except TimeoutError:
        status, body = "no end", None
    lasted = time.monotonic() - started
    checks.equal("a stalled stream is recognisable as truncated", (status, body), (200, None))
    checks.true("a stalled stream ends at the caller's deadline", 2.5 < lasted < 4, f"{lasted:.1f} s")
    checks.equal("a slow but sound stream is whole", slow()[::2], (200, expected_events("slow", 5)))


def check_silent_worker(checks, running, router):
    """A machine that was only silent or slow to report for a while had its running work started again or given up."""
    stream = in_background(lambda: Caller(router).call("through-silence", "/plan/1", X_Events=3, X_Pause_Ms=2000))
    plain = in_background(lambda: Caller(router).call("slow-order", "/order/1", X_Pause_Ms=5000))
    time.sleep(0.5)
    for name in running.workers:
        running.withdraw(name)
    time.sleep(1.5)
    for name in running.workers:
        running.announce(name)
    checks.equal("a stream of a worker that is silent and unannounced for a while is whole",
                 stream()[::2], (200, expected_events("through-silence", 3)))
    checks.equal("it ran once", len(running.workers_that_ran("through-silence")), 1)
    checks.equal("an order that takes long is answered", plain()[0], 200)
    checks.equal("it ran once, too", len(running.workers_that_ran("slow-order")), 1)
    time.sleep(1)


def check_half_answers(checks, running, router):
    """An answer that broke off halfway reached the caller as a complete success."""
    for fault, path in (("truncate", "/order/1"), ("truncate", "/quote/1"), ("inside", "/quote/1")):
        extra = {"X_Events": 8} if path == "/quote/1" else {}
        status, _, body = Caller(router).call(f"half-{fault}-{path[1:6]}", path, X_Fault=fault, **extra)
        checks.true(f"a half answer is no success ({fault} {path})", body is None or status != 200, (status, body))


def check_early_answers(checks, running, router):
    """A worker answered a long upload at once, sent a part of its answer and reset the connection; the part looked complete."""
    for path, extra in (("/order/1", {}), ("/lookup/1", {}), ("/quote/1", {"X_Events": 3})):
        for number in range(3):
            name = f"early-{path[1:6]}{number}"
            status, _, body = Caller(router).call(name, path, body=LONG_UPLOAD, X_Fault="early-reset", **extra)
            whole = body == expected_events(name, 3) if extra else b"POST /lookup/1" in (body or b"")
            checks.true(f"a part of an early answer is no success ({name})", body is None or status != 200 or whole, (status, body))
            if path == "/order/1":
                checks.equal(f"an order that was answered early is not sent again ({number})",
                             len(running.arrivals_of(name)), 1)
        check_serving(checks, running, router, f"early-answers-{path[1:6]}")


def check_odd_statuses(checks, running, router):
    """A worker answered with a status that HTTP does not have, and the caller got that as the answer."""
    for status in ("000", "099", "600", "999"):
        for path, extra in (("/order/1", {}), ("/lookup/1", {}), ("/quote/1", {"X_Events": 3})):
            name = f"odd-{status}-{path[1:6]}"
            started = time.monotonic()
            try:
                got = Caller(router).call(name, path, X_Fault=f"status-{status}", deadline_ms=4000, **extra)[0]
            except http.client.BadStatusLine as line:
                got = str(line)
            expected = (502,) if path == "/order/1" else (200, 502)
            checks.true(f"the status {status} reaches no caller ({path})", got in expected, got)
            checks.at_most(f"the status {status} ends its attempt at once ({path})", round(time.monotonic() - started, 1), 2)
            if path == "/order/1":
                checks.equal(f"an order answered with {status} is not sent again", len(running.arrivals_of(name)), 1)
        check_serving(checks, running, router, f"status-{status}")


def check_endless_answers(checks, running, router):
    """Bytes that are no answer come without end, in a head or a body, until the caller closes."""
    before = memory_of(router)
    # The refusals come first: after the other faults, one of the two workers is ejected, and no second attempt is possible.
    for fault, expected in (("endless-refusal", 200), ("endless-head", 502), ("endless-extension", 502), ("large-trailer", 502)):
        started = time.monotonic()
        calls = [in_background(lambda name=f"{fault}{number}", fault=fault: Caller(router).call(name, "/order/1", X_Fault=fault))
                 for number in range(4)]
        other = Caller(router).call(f"beside-{fault}", "/lookup/1")[0]
        statuses = [call()[0] for call in calls]
        checks.at_most(f"{fault}: given up", round(time.monotonic() - started, 1), ENDLESS_LIMIT_SECONDS)
        # The attempts of the four calls meet two workers; a refusal leads to a second attempt, which is answered.
        checks.true(f"{fault}: the outcome of each caller", all(status == expected for status in statuses), statuses)
        checks.equal(f"{fault}: another caller is served meanwhile", other, 200)
        check_serving(checks, running, router, fault)
    checks.at_most("memory gained in KiB", memory_of(router) - before, MEMORY_GROWTH_LIMIT_KIB)


def reset_peak_memory(router):
    with open(f"/proc/{router.process.pid}/clear_refs", "w", encoding="ascii") as references:
        references.write("5")


def peak_memory_of(router):
    """Largest resident memory of the router's process since the last reset, in KiB."""
    return status_kib(router, "VmHWM")


def check_hoarded_answers(checks, running, router):
    """A worker sent bodies without end; the machine kept them all and ran out of memory, and with it other clients' requests."""
    for name in ("plain0", "plain1"):
        running.announce(name, slots=200)
    time.sleep(1.5)
    before = memory_of(router)
    reset_peak_memory(router)
    calls = [in_background(lambda number=number: Caller(router).call(
        f"hoard{number}", "/order/1", X_Fault="endless-body", deadline_ms=5000)) for number in range(HOARDED_ANSWERS)]
    time.sleep(1.5)
    others = [Caller(router).call(f"beside-hoard{number}", "/order/1")[0] for number in range(20)]
    gained = peak_memory_of(router) - before
    statuses = {call()[0] for call in calls}
    checks.true("answers without end are no success", statuses <= {502, 504}, statuses)
    checks.equal("other callers are served meanwhile", others, [200] * len(others))
    if not SANITIZED:
        checks.at_most("memory gained at its peak in KiB", gained, ANSWER_MEMORY_KIB + MEMORY_GROWTH_LIMIT_KIB)
    check_serving(checks, running, router, "hoarded-answers")
    for name in ("plain0", "plain1"):
        running.announce(name)
    time.sleep(1.5)


def check_unnamed_bytes(checks, running, router):
    """A worker wrote an earlier refusal once more on a kept connection, and the request behind it was told that it had not run."""
    running.withdraw("plain1")
    time.sleep(2)
    for number in range(4):
        for fault in ("refusal-late", "failure-late", "refusal-again"):
            Caller(router).call(f"{fault}{number}", "/order/first", X_Fault=fault)
            # Longer than the delay of the additional bytes, so that they arrive where this order's answer is due.
            status, _, body = Caller(router).call(f"behind-{fault}{number}", "/order/second", X_Pause_Ms=150)
            runs = len(running.workers_that_ran(f"behind-{fault}{number}"))
            checks.true(f"an order behind {fault} gets its own answer ({number})",
                        (status, runs) == (200, 1) and b"/order/second" in body, (status, runs, body))
    running.announce("plain1", born=2)
    time.sleep(1.5)


def check_malformed_messages(checks, running, router):
    """One malformed message or unexpected error took a whole process down."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.bind((router.address, 0))
        for size in (0, 1, 4, 5, 12, 64, 1400):
            for fill in (b"\0", b"\xff", b"\x04"):
                body = fill * size
                for datagram in (body, struct.pack(">I", len(body)) + body):
                    datagrams.sendto(datagram, (router.address, router.first_internal_port))
        # A frame whose table names the type of a body and leaves the body out.
        for tag in range(11):
            table = struct.pack("<IHHHHiB3x", 12, 8, 8, 4, 0, 8, tag)
            datagrams.sendto(struct.pack(">I", len(table)) + table, (router.address, router.first_internal_port))
    head = b"POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-weavers\r\nAttempt-Id: odd\r\n"
    large = b"X-Large: " + b"x" * 70000 + b"\r\n\r\n"
    for request in (b"\0" * 100, b"GET\r\n\r\n", head + large, head + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + large,
                    head + b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", head + b"Content-Length: -1\r\n\r\n"):
        try:
            raw_exchange(router, request, timeout=1)
        except ConnectionError:
            pass
    check_serving(checks, running, router, "malformed-messages")


def check_odd_entries(checks, running, router):
    """Another writer left one odd entry among those of the workers."""
    good = {"service": "book", "address": "127.0.0.1:9", "zone": "sohar", "version": "v1", "slots": 6, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": 1}
    nested = "[" * 200000 + "]" * 200000
    odd = {"deep": '{"service":%s}' % nested, "open": "[" * 300000,
           "slots": json.dumps({**good, "slots": 5000000000}), "born": json.dumps({**good, "born": 1e30}),
           "port": json.dumps({**good, "address": "127.0.0.1:99999"}), "list": "[]", "null": "null", "bytes": "\x00",
           "name\r\nHold: 1": json.dumps(good)}
    for name, text in odd.items():
        running.store("put", text.encode(), key=urllib.parse.quote(f"servers/{name}"))
    running.announce("plain0", state="draining", born=3)
    time.sleep(2.5)
    for number in range(6):
        Caller(router).call(f"past-odd{number}", "/lookup/1")
    arrivals = [arrival["id"] for arrival in running.worker_record("plain0")["arrivals"]]
    checks.true("the router goes on following the list", not any(arrived.startswith("past-odd") for arrived in arrivals))
    check_serving(checks, running, router, "odd-entries")
    running.announce("plain0", born=4)
    time.sleep(1.5)


def check_large_entries(checks, running, router):
    """One entry of another writer, very deeply nested or very wide, took a router over its memory."""
    for name, part in (("deep", b"["), ("wide", b"{},"), ("deep-objects", b'{"a":'), ("text", b'""')):
        before = memory_of(router)
        reset_peak_memory(router)
        running.store("put", (b"[" + part * (STORE_VALUE_BYTES // len(part)))[:STORE_VALUE_BYTES], key="servers/large")
        time.sleep(READ_SECONDS)
        if not SANITIZED:
            checks.at_most(f"memory gained in KiB while a {name} entry is read", peak_memory_of(router) - before,
                           READ_GROWTH_LIMIT_KIB)
        check_serving(checks, running, router, f"large-entry-{name}")
    lines = [line for line in running.read_log(router.name).splitlines() if "entry of large" in line]
    checks.equal("log lines for the large entries", len(lines), 4)
    running.store("delete", key="servers/large")


def check_leaving_workers(checks, running, router, other):
    """A worker says in an answer that it leaves, while the store still says that it is ready."""
    Caller(router).call("farewell", "/lookup/1", X_Fault="leaving")
    worker = running.workers_that_ran("farewell")[0]
    time.sleep(2)
    for number in range(6):
        Caller(router).call(f"stayed{number}", "/lookup/1")
        Caller(other).call(f"told{number}", "/lookup/1")
    arrivals = [arrival["id"] for arrival in running.worker_record(worker)["arrivals"]]
    checks.true("a worker that has said that it leaves gets no request", not any(name.startswith("stayed") for name in arrivals))
    checks.true("nor from another router", not any(name.startswith("told") for name in arrivals))
    running.announce(worker, born=7)
    time.sleep(1.5)


def check_quiet_workers(checks, running, router):
    """A worker refuses a request and asks for two seconds of quiet."""
    answered = [Caller(router).call(f"quiet{number}", "/lookup/1", X_Fault="quiet")[0] for number in range(1)]
    checks.equal("a request that is refused for quiet is served by another worker", answered, [200])
    refused_at = running.arrivals_of("quiet0")[0]["at"]
    quiet = [name for name in running.workers if running.worker_record(name)["arrivals"][-1:] and
             any(arrival["id"] == "quiet0" for arrival in running.worker_record(name)["arrivals"]) and
             "quiet0" not in running.worker_record(name)["runs"]]
    while time.monotonic() < refused_at + 1.9:
        Caller(router).call(f"hushed{time.monotonic()}", "/lookup/1")
    late = [arrival["at"] - refused_at for name in quiet for arrival in running.worker_record(name)["arrivals"]
            if 0.5 < arrival["at"] - refused_at < 2]
    checks.equal("one worker has asked for quiet", len(quiet), 1)
    checks.at_most("requests that reach it between half a second later and the end of the time", len(late), 2)
    time.sleep(0.5)
    before = len(running.worker_record(quiet[0])["arrivals"])
    for number in range(12):
        Caller(router).call(f"again{number}", "/lookup/1")
    checks.at_least("requests that reach it afterwards", len(running.worker_record(quiet[0])["arrivals"]) - before, 1)


def check_planned_stop(checks, running, router):
    """During a planned stop under load, requests that had just been accepted were cut off without an answer."""
    callers = [Caller(router) for _ in range(12)]
    for number, caller in enumerate(callers):
        caller.call(f"warm{number}", "/lookup/1")
    calls = [in_background(lambda caller=caller, number=number: caller.call(f"stop{number}", "/order/1", X_Pause_Ms=number * 300))
             for number, caller in enumerate(callers)]
    time.sleep(0.02)
    running.terminate(router)
    late = []
    for number in range(20):
        try:
            late.append(Caller(router).call(f"late{number}", "/lookup/1")[0])
        except OSError:
            late.append(None)
        time.sleep(0.1)
    statuses = [call() for call in calls]
    checks.true("every request accepted before the stop is answered", all(got and got[0] == 200 for got in statuses),
                [got and got[0] for got in statuses])
    checks.true("every request accepted during the notice is answered", all(status == 200 for status in late), late)
    checks.equal("the stop ends with code 0", router.process.wait(20), 0)


def main():
    checks = Checks("reported failures")
    with platform_fleet.PlatformFleet() as running:
        router, other = running.routers
        check_second_copy(checks, running, router)
        check_slow_and_stalled_streams(checks, running, router)
        check_silent_worker(checks, running, router)
        check_half_answers(checks, running, router)
        check_endless_answers(checks, running, router)
        check_hoarded_answers(checks, running, router)
        check_malformed_messages(checks, running, router)
        check_odd_entries(checks, running, router)
        check_large_entries(checks, running, router)
        check_leaving_workers(checks, running, router, other)
        check_quiet_workers(checks, running, router)
        check_planned_stop(checks, running, router)
        check_serving(checks, running, other, "all-of-it")
    # Workers that break off are ejected for longer each time, and the checks above need all of them.
    with platform_fleet.PlatformFleet() as running:
        check_unnamed_bytes(checks, running, running.routers[0])
        check_early_answers(checks, running, running.routers[0])
        check_odd_statuses(checks, running, running.routers[0])
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
