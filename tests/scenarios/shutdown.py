"""Checks that a graceful shutdown under load truncates no answer: every call gets a complete answer or a typed refusal, and
the exit code is 0."""

import http.client
import signal
import socket
import subprocess
import sys
import threading
import time

import fleet
from checks import Checks
from steady_calls import SteadyCalls

NOTICE_MS = 1500
EXIT_BOUND_SECONDS = 20
EXIT_INTERRUPTED = 6
# More than the kernel buffers for a connection, so that the router still holds a part of the reply when the request has
# ended.
REPLY_BYTES = 12_000_000
BODY_LIMIT_BYTES = 16_000_000
READ_DELAY_SECONDS = 8


def is_ready(router):
    try:
        return fleet.http("GET", router.url("/ready"), timeout=2)[0] == 200
    except OSError:
        return None


def exit_code(router, timeout):
    """Returns the exit code, or None if the process still runs after the timeout."""
    try:
        return router.process.wait(timeout)
    except subprocess.TimeoutExpired:
        return None


class IdleConnection:
    """A connection that stays open after its first answer."""

    def __init__(self, running, router):
        self.credential = running.accounts[0].credential
        self.connection = http.client.HTTPConnection(router.address, router.caller_port, timeout=10)
        self.call()

    def call(self):
        """Sends a call on the connection; returns its outcome and failure."""
        self.connection.request("POST", "/v1/call/model/generate", "id=i tokens=1 ms=1",
                                {"Authorization": f"Bearer {self.credential}"})
        response = self.connection.getresponse()
        response.read()
        return response.headers["Kumquatbeam-Outcome"], response.headers.get("Kumquatbeam-Failure")

    def is_closed(self):
        self.connection.sock.settimeout(5)
        try:
            return self.connection.sock.recv(1) == b""
        except socket.timeout:
            return False


class SlowReader:
    """A caller with a small receive buffer that starts to read a large stored reply after its request has ended."""

    def __init__(self, running, router):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect((router.address, router.caller_port))
        self.name = "s" * REPLY_BYTES
        body = f"order={self.name} ms=1"
        ticket = running.ticket(router, running.accounts[1])
        self.socket.sendall((f"POST /v1/call/booking/order HTTP/1.1\r\nHost: r\r\nContent-Length: {len(body)}\r\n"
                             f"Authorization: Bearer {running.accounts[1].credential}\r\n"
                             f"Kumquatbeam-Ticket: {ticket}\r\n\r\n{body}").encode())
        self.answer = b""
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        time.sleep(READ_DELAY_SECONDS)
        self.socket.settimeout(20)
        response = http.client.HTTPResponse(self.socket)
        try:
            response.begin()
            self.answer = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.answer = repr(error).encode()

    def is_whole(self):
        self.thread.join(30)
        return self.answer == f"order {self.name} done\n".encode()


def check_graceful(running, checks):
    router = running.routers[0]
    idle, late = IdleConnection(running, router), IdleConnection(running, router)
    slow = SlowReader(running, router)
    with SteadyCalls(running, router, threads=30, tokens=30, pace_ms=30) as calls:
        time.sleep(2.5)
        running.terminate(router)
        terminated_at = time.time()
        time.sleep(0.3)
        checks.equal("the router is not ready right after SIGTERM", is_ready(router), False)
        time.sleep(NOTICE_MS / 1000 - 0.8)
        peers = {row["entry_vm"]: row for row in running.status(running.routers[1])["peers"]}
        checks.equal("peers treat the leaving router as unreachable", peers[router.name]["reachable"], False)
        time.sleep(max(0.0, terminated_at + NOTICE_MS / 1000 + 0.2 - time.time()))
        checks.equal("a call after the drain notice is not run", late.call(), ("not-run", "draining"))
        checks.equal("the exit code is 0", exit_code(router, EXIT_BOUND_SECONDS), 0)
        ended = time.time()
    in_notice = calls.outcome_counts(since=terminated_at, until=terminated_at + NOTICE_MS / 1000 - 0.3)
    checks.at_least("calls served during the drain notice", in_notice["whole"], 1)
    checks.equal("calls refused during the drain notice", in_notice["not-run"] + in_notice["refused-connection"], 0)
    outcome_counts = calls.outcome_counts()
    print(
        f"outcomes: {dict(outcome_counts)}; not run: {dict(calls.detail_counts('not-run'))}; cut: {dict(calls.detail_counts('cut'))}")
    checks.equal("no answer is truncated", outcome_counts["cut"], 0)
    checks.equal("no call has an unknown outcome", outcome_counts["unknown"], 0)
    checks.equal("every call that is not run has the failure draining",
                 set(calls.detail_counts("not-run")) - {"draining"}, set())
    checks.true("an idle connection is closed", idle.is_closed())
    checks.true("a slow reader gets its complete answer", slow.is_whole(), f"{len(slow.answer)} bytes")
    checks.at_least("the router waited for the slow reader, seconds", round(ended - terminated_at, 1),
                    READ_DELAY_SECONDS - 3.5)


def check_second_signal(running, checks):
    router = running.routers[1]
    thread = threading.Thread(target=SteadyCalls(running, router, tokens=500, pace_ms=20).call_once,
                              args=("long", running.accounts[0]), daemon=True)
    thread.start()
    time.sleep(0.5)
    running.terminate(router)
    time.sleep(0.5)
    checks.equal("a shutdown waits for a long call", router.process.poll(), None)
    running.terminate(router)
    time.sleep(1)
    checks.equal("a second SIGTERM ends nothing", router.process.poll(), None)
    router.process.send_signal(signal.SIGINT)
    checks.equal("SIGINT ends the process at once, with its own exit code", exit_code(router, 3), EXIT_INTERRUPTED)


def main():
    checks = Checks("shutdown")
    with fleet.Fleet(routers=2, engines=3, services=1, settings={"drain-notice-ms": NOTICE_MS, "body-limit": BODY_LIMIT_BYTES}) as running:
        check_graceful(running, checks)
        check_second_signal(running, checks)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
