#!/usr/bin/env python3
"""Stand-in for the platform: serves a configuration document and a member list with revisions, for reads and long polls.

GET /document or /members with `?newer-than=R&wait-ms=T` returns the text with its Revision, or 304 after T ms without a
newer revision. POST /control/publish?what=document|members&revision=R publishes the body. POST
/control/mode?down=yes|no&stale=yes|no&slow-ms=T&serve=REVISION makes the platform unreachable, freezes the served
revisions, delays answers, or serves an older revision of the document. GET /control/counts returns the number of calls so
far; a waiting long poll counts as one call.
"""

import argparse
import asyncio
import json

from http_server import Response, serve


class Platform:
    def __init__(self):
        self.history = {"document": {}, "members": {}}
        self.served_revisions = {"document": 0, "members": 0}
        self.changed = asyncio.Condition()
        self.down = False
        self.stale = False
        self.slow_seconds = 0.0
        self.calls = 0

    async def handle(self, request, _reader, writer):
        if request.path.startswith("/control/"):
            return await self.control(request)
        self.calls += 1
        if self.down:
            writer.close()
            return None
        await asyncio.sleep(self.slow_seconds)
        resource = request.path.strip("/")
        if resource not in self.history:
            return Response(404)
        return await self.read(resource, int(request.query.get("newer-than", "0")),
                               float(request.query.get("wait-ms", "0")) / 1000)

    async def read(self, resource, newer_than, wait):
        try:
            async with self.changed:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.down or self.served_revisions[resource] > newer_than), wait or 0.001)
        except asyncio.TimeoutError:
            return Response(304)
        if self.down:
            raise ConnectionError("the platform is down")
        revision = self.served_revisions[resource]
        return Response(200, self.history[resource][revision], {"Revision": str(revision)})

    async def control(self, request):
        if request.path == "/control/counts":
            return Response(200, json.dumps({"calls": self.calls, "shown": self.served_revisions}).encode())
        async with self.changed:
            if request.path == "/control/publish":
                resource, revision = request.query["what"], int(request.query["revision"])
                self.history[resource][revision] = request.body
                if not self.stale:
                    self.served_revisions[resource] = revision
            elif request.path == "/control/mode":
                self.mode(request.query)
            self.changed.notify_all()
        return Response(200, b"done\n")

    def mode(self, query):
        if "down" in query:
            self.down = query["down"] == "yes"
        if "stale" in query:
            self.stale = query["stale"] == "yes"
            if not self.stale:
                self.served_revisions = {resource: max(revisions, default=0) for resource, revisions in self.history.items()}
        if "slow-ms" in query:
            self.slow_seconds = float(query["slow-ms"]) / 1000
        if "serve" in query:
            self.served_revisions["document"] = int(query["serve"])


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    platform = Platform()
    await serve(options.port, platform.handle)


if __name__ == "__main__":
    asyncio.run(main())
