"""A client of the platform on kept connections."""

import asyncio

from deployment import HOST, KEY


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class Caller:
    """One connection to a router; opened when it is needed."""

    def __init__(self, router):
        self.router = router
        self.reader = self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.router.address, self.router.caller_port), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, request_id, path, deadline_ms, method="POST", body=b"", **fields):
        """Sends a request and returns its complete answer; raises ConnectionError or IncompleteReadError if there is
        none, TimeoutError half a second after the deadline."""
        await self.open()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {request_id}",
                 f"Deadline-Milliseconds: {deadline_ms}", f"Authorization: Bearer {KEY}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            answer = await asyncio.wait_for(self.read_answer(), deadline_ms / 1000 + 0.5)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            raise
        if answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read_answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        fields = {}
        for line in head[1:]:
            if line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding") != "chunked":
            return Answer(status, fields, await self.reader.readexactly(int(fields.get("content-length", "0"))))
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return Answer(status, fields, body)
