"""Closed-loop load for scenarios: threads that call one router repeatedly and record the outcome of each call."""

import collections
import http.client
import threading
import time
from dataclasses import dataclass


@dataclass
class Outcome:
    """Start time and outcome of one call; kind is `whole`, `not-run`, `unknown`, `refused-connection` or `cut`."""
    began: float
    kind: str
    detail: str = ""


class SteadyCalls:
    """Threads that call in a loop until stopped, with a new connection for each call."""

    def __init__(self, running, router, threads=8, tokens=5, pace_ms=10, idle_seconds=0.0):
        self.running, self.router = running, router
        self.tokens, self.pace_ms, self.idle_seconds = tokens, pace_ms, idle_seconds
        self.outcomes = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.call_repeatedly, args=(number,), daemon=True)
                        for number in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)

    def call_repeatedly(self, number):
        count = 0
        while not self.stopping.is_set():
            count += 1
            outcome = self.call_once(f"c{number}x{count}", self.running.accounts[number % len(self.running.accounts)])
            self.outcomes.append(outcome)
            if outcome.kind != "whole":
                time.sleep(0.1)
            time.sleep(self.idle_seconds)

    def call_once(self, name, account):
        began = time.time()
        connection = http.client.HTTPConnection(self.router.address, self.router.caller_port, timeout=30)
        try:
            connection.connect()
        except OSError as error:
            return Outcome(began, "refused-connection", repr(error))
        try:
            connection.request("POST", "/v1/call/model/generate", f"id={name} tokens={self.tokens} ms={self.pace_ms}",
                               {"Authorization": f"Bearer {account.credential}", "Content-Type": "text/plain"})
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Outcome(began, "cut", repr(error))
        finally:
            connection.close()
        if response.status == 200:
            expected = "".join(f"{name}:{index} " for index in range(self.tokens)) + f"end {name} {self.tokens}\n"
            return Outcome(began, "whole" if body.decode() == expected else "cut",
                           "" if body.decode() == expected else repr(body))
        return Outcome(began, response.headers.get("Kumquatbeam-Outcome", "cut"),
                       response.headers.get("Kumquatbeam-Failure", str(response.status)))

    def outcome_counts(self, since=0.0, until=float("inf")):
        return collections.Counter(outcome.kind for outcome in list(self.outcomes) if since <= outcome.began < until)

    def detail_counts(self, kind):
        return collections.Counter(outcome.detail for outcome in list(self.outcomes) if outcome.kind == kind)
