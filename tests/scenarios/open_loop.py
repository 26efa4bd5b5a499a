"""Open-loop load for scenarios: calls start at a fixed rate, however many are still in flight."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field


@dataclass
class Tally:
    """Outcomes of the calls of one stream."""

    made: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    wrong: int = 0
    retry_after: list = field(default_factory=list)


class Stream:
    """Calls of one account at a fixed rate, to all routers in turn."""

    def __init__(self, running, account, name, calls_per_second, deadline_ms=2000, urgency="normal", retries=0,
                 tokens=10, pace_ms=20, counts_by_start_time=False):
        self.running, self.account, self.name = running, account, name
        self.calls_per_second, self.deadline_ms, self.urgency = calls_per_second, deadline_ms, urgency
        self.retries, self.tokens, self.pace_ms = retries, tokens, pace_ms
        self.counts_by_start_time = counts_by_start_time
        self.routers = itertools.cycle(running.routers)
        self.tally = Tally()

    async def run(self, warm_up, seconds):
        """Sends calls for `warm_up` plus `seconds`. Counts the calls that end, or start if `counts_by_start_time` is set,
        after the warm-up and before the end."""
        began = time.monotonic()
        calls = []
        for number in range(int(self.calls_per_second * (warm_up + seconds))):
            await asyncio.sleep(max(0.0, began + number / self.calls_per_second - time.monotonic()))
            calls.append(asyncio.ensure_future(self.call(number, began + warm_up, began + warm_up + seconds)))
        await asyncio.gather(*calls)
        return self.tally

    async def call(self, number, counts_from, counts_to):
        for attempt in range(self.retries + 1):
            started_at = time.monotonic()
            outcome = await self.attempt(f"{self.name}-{number}-{attempt}")
            if counts_from <= (started_at if self.counts_by_start_time else time.monotonic()) < counts_to:
                self.tally.made += 1
                setattr(self.tally, outcome, getattr(self.tally, outcome) + 1)
            if outcome == "answered":
                return
            await asyncio.sleep(0.1)

    async def attempt(self, name):
        router = next(self.routers)
        body = f"id={name} tokens={self.tokens} ms={self.pace_ms}"
        request = (f"POST /v1/call/model/generate HTTP/1.1\r\nHost: router\r\nConnection: close\r\n"
                   f"Authorization: Bearer {self.account.credential}\r\nContent-Length: {len(body)}\r\n"
                   f"Kumquatbeam-Deadline-Ms: {self.deadline_ms}\r\nKumquatbeam-Urgency: {self.urgency}\r\n\r\n{body}")
        try:
            reader, writer = await asyncio.open_connection(router.address, router.caller_port)
        except OSError:
            return "failed"
        try:
            writer.write(request.encode())
            answer = await asyncio.wait_for(reader.read(), self.deadline_ms / 1000 + 2)
        except (OSError, asyncio.TimeoutError):
            return "failed"
        finally:
            writer.close()
        return self.classify_answer(answer, name)

    def classify_answer(self, answer, name):
        head = answer.split(b"\r\n\r\n", 1)[0].decode("latin-1").lower()
        if "kumquatbeam-outcome: not-run" in head:
            self.tally.retry_after += [int(line.split(":")[1]) for line in head.split("\r\n") if "retry-after:" in line]
            return "refused"
        if " 200 " not in head.split("\r\n")[0] or not answer.endswith(b"\r\n0\r\n\r\n"):
            return "failed"
        return "answered" if f"end {name} {self.tokens}\n".encode() in answer else "wrong"


def run_streams(streams, warm_up, seconds):
    """Runs the streams concurrently."""

    async def run_all():
        await asyncio.gather(*(stream.run(warm_up, seconds) for stream in streams))

    asyncio.run(run_all())
