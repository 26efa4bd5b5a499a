#!/usr/bin/env python3
"""Stand-in for the store of the users' platform: paged `GET /-/kv-range` over persistent connections, as routers use it.

Every response states the store's era in the field Store-Era.

POST /control/put?key=K stores the body as the value of K and POST /control/delete?key=K removes K. POST
/control/mode?down=yes|no&slow-ms=T&status=CODE makes the store leave reads unanswered, delay them, or answer each with
CODE. POST /control/copy keeps a copy of the store, and POST /control/restore restores the copy: what was written since is
lost, revisions go back, and the era increases by one. Every control request returns the number of reads so far, the
revision and the era; GET /control/counts does nothing else.
"""

import argparse
import asyncio
import base64
import json
import urllib.parse

from http_server import Request, read_request

PAGE_SIZE = 5


class Store:
    def __init__(self):
        self.items = {}
        self.revision = 1
        self.era = 0
        self.copy = ({}, 1)
        self.down = False
        self.slow_seconds = 0.0
        self.status = 200
        self.reads = 0

    def page(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [{"key": key, "value": base64.b64encode(self.items[key][0]).decode(), "revision": self.items[key][1],
                 "created": self.items[key][1], "lease": 0} for key in keys[:PAGE_SIZE]]
        return {"items": rows, "truncated": len(keys) > PAGE_SIZE, "store_revision": self.revision}

    async def read(self, request: Request):
        """Returns status and body of a read, or None if it must stay unanswered."""
        self.reads += 1
        await asyncio.sleep(self.slow_seconds)
        if self.down:
            return None
        if self.status != 200:
            return self.status, b"{}"
        return 200, json.dumps(self.page(request.query.get("path_prefix", ""), request.query.get("after", ""))).encode()

    def control(self, request: Request):
        if request.path == "/control/put":
            self.revision += 1
            self.items[request.query["key"]] = (request.body, self.revision)
        elif request.path == "/control/delete":
            self.revision += 1
            self.items.pop(request.query["key"], None)
        elif request.path == "/control/copy":
            self.copy = (dict(self.items), self.revision)
        elif request.path == "/control/restore":
            self.items, self.revision = dict(self.copy[0]), self.copy[1]
            self.era += 1
        elif request.path == "/control/mode":
            self.down = request.query.get("down", "no") == "yes"
            self.slow_seconds = float(request.query.get("slow-ms", "0")) / 1000
            self.status = int(request.query.get("status", "200"))
        return 200, json.dumps({"reads": self.reads, "revision": self.revision, "era": self.era}).encode()

    async def handle_connection(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request.path == "/-/kv-range":
                    answer = await self.read(request)
                else:
                    answer = self.control(request)
                if answer is None:
                    await asyncio.Event().wait()
                status, body = answer
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    server = await asyncio.start_server(Store().handle_connection, "127.0.0.1", arguments.port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
