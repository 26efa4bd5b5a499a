"""Checks that every caller gets its own complete answer or can tell that the answer is truncated: with answers that are
truncated, resumed, malformed or followed by garbage, and with callers that are slow or disconnect."""

import http.client
import socket
import sys
import time

import fleet
from checks import Checks

# Time within which an engine sees that its caller has disconnected.
CANCEL_BOUND_SECONDS = 1.0

# A router buffers one piece of 16 KiB for each slow caller; 1 MiB for each includes the overhead of the allocator.
SLOW_CALLERS = 4
MEMORY_GROWTH_LIMIT_KIB = SLOW_CALLERS * 1024
LARGE_TOKENS, LARGE_PADDING = 4000, 16000


def expected_answer(name, tokens, padding=0):
    return ("".join(f"{name}:{index} " + "x" * padding for index in range(tokens)) + f"end {name} {tokens}\n").encode()


def try_call(running, name, tokens=10, pool="model", **headers):
    """Sends a call; returns `whole` with status and body, or `broken` with the part of the body that arrived."""
    try:
        status, fields, body = running.call(running.routers[0], running.accounts[0], pool, "/generate",
                                            f"id={name} tokens={tokens} ms=5", timeout=15, **headers)
        return "whole", status, fields.get("Kumquatbeam-Outcome"), body
    except http.client.IncompleteRead as broken:
        return "broken", 200, None, broken.partial


def control_all_engines(running, **query):
    for index in range(len(running.engine_ports)):
        running.engine_control(index, **query)


def check_whole(checks, running, description, name):
    actual = try_call(running, name)
    checks.equal(description, actual, ("whole", 200, "answered", expected_answer(name, 10)))


def check_broken(checks, running, description, name):
    result, _, _, body = try_call(running, name)
    checks.equal(description, result, "broken")
    whole = expected_answer(name, 10)
    checks.true("the part that arrived is a proper prefix of the answer",
                whole.startswith(body) and body != whole, f"{len(body)} bytes")


def check_not_answered(checks, running, description, name):
    result, status, outcome, body = try_call(running, name)
    checks.true(description, result == "whole" and status >= 500 and outcome == "unknown",
                f"{result} {status} {outcome} {body[:60]!r}")


def check_resume(checks, running):
    control_all_engines(running, break_after=3)
    check_whole(checks, running, "a truncated answer is resumed without a gap or a repetition", "resumed")
    checks.at_least("an engine resumed the answer", sum(counts["resumed"] for counts in running.engine_counts()), 1)
    control_all_engines(running, break_after=3, answer="ignore-resume")
    check_broken(checks, running, "an answer whose resumption no engine confirms is truncated recognisably", "unconfirmed")
    control_all_engines(running, break_after=3, answer="fail-resume")
    check_broken(checks, running, "an answer whose resumption fails is truncated recognisably, without the error", "failed")
    control_all_engines(running, break_after=0, answer="whole")


def check_malformed_answers(checks, running):
    for form in ("garbage", "twice", "interim"):
        control_all_engines(running, answer=form)
        check_whole(checks, running, f"an answer of the form {form} reaches the caller completely", f"form-{form}")
    for form in ("cut-length", "bad-chunk"):
        control_all_engines(running, answer=form)
        check_broken(checks, running, f"an answer of the form {form} is truncated recognisably", f"form-{form}")
        restore_engines(running)
    for form in ("no-length", "close", "cut-head"):
        control_all_engines(running, answer=form)
        check_not_answered(checks, running, f"an answer of the form {form} counts as unanswered", f"form-{form}")
        restore_engines(running)
    control_all_engines(running, answer="early")
    form, status, outcome, body = try_call(running, "early")
    checks.true("an answer that precedes the request is not used as its answer", outcome != "answered",
                f"{form} {status} {outcome} {body[:60]!r}")
    restore_engines(running)
    check_whole(checks, running, "the router serves calls after malformed answers", "after")


def restore_engines(running):
    """Restores the engines' normal answers. At most half of the engines are ejected, so that the others stay usable."""
    control_all_engines(running, answer="whole")


def check_orders(checks, running):
    running.service_control(0, drop_after_run=1)
    status, fields, _ = running.call(running.routers[0], running.accounts[0], "booking", "/order", "order=dropped ms=5",
                                     Kumquatbeam_Ticket=running.ticket(running.routers[0], running.accounts[0]))
    checks.equal("an order whose answer was lost has an unknown outcome", fields["Kumquatbeam-Outcome"], "unknown")
    checks.at_least("the status of that order is an error", status, 500)
    checks.equal("that order ran once", running.service_counts()[0]["runs"]["dropped"], 1)


def check_not_resumable(checks, running):
    running.publish_document(running.document().replace("resume=yes", "resume=no"))
    time.sleep(2)
    control_all_engines(running, break_after=3)
    check_broken(checks, running, "an answer that cannot be resumed is truncated recognisably", "final")
    control_all_engines(running, break_after=0)
    running.publish_document()
    time.sleep(2)


def open_call(running, name, tokens, milliseconds, padding=0):
    """Sends a call on a socket with a small receive buffer and leaves the answer unread."""
    router, account = running.routers[0], running.accounts[0]
    body = f"id={name} tokens={tokens} ms={milliseconds} pad={padding}"
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect((router.address, router.caller_port))
    caller.sendall((f"POST /v1/call/model/generate HTTP/1.1\r\nHost: router\r\nContent-Length: {len(body)}\r\n"
                    f"Authorization: Bearer {account.credential}\r\n\r\n{body}").encode())
    return caller


def memory_kib(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))


def check_slow_callers(checks, running):
    router = running.routers[0]
    # The pages of the rings become resident on first use; a large answer that is read fast touches them all.
    body = f"id=fast tokens={LARGE_TOKENS} ms=0 pad={LARGE_PADDING}"
    fast = running.call(router, running.accounts[0], "model", "/generate", body, timeout=30)[2]
    checks.true("a large answer that is read fast is complete", fast == expected_answer("fast", LARGE_TOKENS, LARGE_PADDING))
    before = memory_kib(router.process)
    callers = [open_call(running, f"slow{index}", LARGE_TOKENS, 0, LARGE_PADDING) for index in range(SLOW_CALLERS)]
    highest = before
    for _ in range(40):
        time.sleep(0.1)
        for caller in callers:
            caller.recv(1024)
        highest = max(highest, memory_kib(router.process))
    checks.at_most(f"memory growth (KiB) while slow callers read answers of {LARGE_TOKENS * LARGE_PADDING >> 20} MiB",
                   highest - before, MEMORY_GROWTH_LIMIT_KIB)
    for caller in callers:
        caller.close()


def check_caller_disconnect(checks, running):
    cancelled = lambda: sum(counts["cancelled"] for counts in running.engine_counts())
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline and sum(counts["running"] for counts in running.engine_counts()):
        time.sleep(0.05)
    before = cancelled()
    caller = open_call(running, "leaving", 400, 20)
    caller.recv(64)
    caller.close()
    disconnected_at = time.monotonic()
    while cancelled() == before and time.monotonic() < disconnected_at + 5:
        time.sleep(0.02)
    checks.at_most("seconds until the engine saw that the caller disconnected", round(time.monotonic() - disconnected_at, 2),
                   CANCEL_BOUND_SECONDS)


def main():
    checks = Checks("whole answers")
    with fleet.Fleet(routers=1, engines=4, services=1, settings={"request-limit": 64}) as running:
        check_resume(checks, running)
        check_malformed_answers(checks, running)
        check_orders(checks, running)
        check_slow_callers(checks, running)
        check_caller_disconnect(checks, running)
        check_not_resumable(checks, running)
        checks.equal("every engine received the time left until the deadline", min(
            bool(counts["deadlines"]) for counts in running.engine_counts() if counts["started"]), True)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
