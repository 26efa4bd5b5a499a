#!/usr/bin/env python3
"""A TCP relay that cuts, holds or delays links on command, selected by source address and listening port.

--links ADDRESS:LISTEN:TARGET,... forwards each listening port LISTEN of a loopback ADDRESS to port TARGET of the same
address. The relay's outgoing connection uses the client's address as its source. Command on the control port:
POST /control?from=ADDRESS|all&to=LISTEN,...|all&mode=pass|cut|hold&direction=both|up|down&delay-ms=T. `cut` aborts
connections and refuses new ones, `hold` buffers bytes until the mode is `pass` again. `up` is the direction from the
client to the target.
"""

import argparse
import asyncio
from dataclasses import dataclass

from http_server import Response, serve


@dataclass(frozen=True)
class Mode:
    name: str = "pass"
    direction: str = "both"
    delay: float = 0.0

    def applies_to(self, direction):
        return self.direction in ("both", direction)


class Connection:
    def __init__(self, source, listen_port):
        self.source = source
        self.listen_port = listen_port
        self.mode = Mode()
        self.changed = asyncio.Event()
        self.writers = []

    def apply(self, mode):
        self.mode = mode
        self.changed.set()
        if mode.name == "cut":
            for writer in self.writers:
                writer.transport.abort()

    async def wait_until_open(self, direction):
        while self.mode.name == "hold" and self.mode.applies_to(direction):
            self.changed.clear()
            await self.changed.wait()

    async def pump(self, direction, reader, writer):
        loop = asyncio.get_running_loop()
        queue = asyncio.Queue(256)

        async def forward():
            while (item := await queue.get()) is not None:
                due, data = item
                await asyncio.sleep(max(0.0, due - loop.time()))
                await self.wait_until_open(direction)
                writer.write(data)
                await writer.drain()

        sender = asyncio.ensure_future(forward())
        try:
            while data := await reader.read(65536):
                delay = self.mode.delay if self.mode.applies_to(direction) else 0.0
                await queue.put((loop.time() + delay, data))
            await queue.put(None)
            await sender
        finally:
            sender.cancel()
            writer.close()


class Relay:
    def __init__(self):
        self.rules = []
        self.connections = set()

    def mode_for(self, source, listen_port):
        mode = Mode()
        for sources, listen_ports, rule in self.rules:
            if sources in ("all", source) and (listen_ports == "all" or str(listen_port) in listen_ports.split(",")):
                mode = rule
        return mode

    async def accept(self, address, listen_port, target_port, reader, writer):
        connection = Connection(writer.get_extra_info("peername")[0], listen_port)
        connection.mode = self.mode_for(connection.source, listen_port)
        connection.writers.append(writer)
        if connection.mode.name == "cut":
            writer.transport.abort()
            return
        try:
            remote_reader, remote_writer = await asyncio.open_connection(address, target_port,
                                                                         local_addr=(connection.source, 0))
        except OSError:
            writer.transport.abort()
            return
        connection.writers.append(remote_writer)
        self.connections.add(connection)
        await asyncio.gather(connection.pump("up", reader, remote_writer),
                             connection.pump("down", remote_reader, writer), return_exceptions=True)
        self.connections.discard(connection)

    async def control(self, request, _reader, _writer):
        query = request.query
        mode = Mode(query.get("mode", "pass"), query.get("direction", "both"), float(query.get("delay-ms", "0")) / 1000)
        self.rules.append((query.get("from", "all"), query.get("to", "all"), mode))
        for connection in list(self.connections):
            connection.apply(self.mode_for(connection.source, connection.listen_port))
        return Response(200, b"done\n")


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--links", required=True, help="ADDRESS:LISTEN:TARGET, comma-separated")
    parser.add_argument("--control", type=int, required=True)
    options = parser.parse_args()
    relay = Relay()
    servers = []
    for link in options.links.split(","):
        address, listen_port, target_port = link.split(":")

        def accept(reader, writer, address=address, listen_port=int(listen_port), target_port=int(target_port)):
            return relay.accept(address, listen_port, target_port, reader, writer)

        servers.append(await asyncio.start_server(accept, address, int(listen_port), backlog=512))
    await asyncio.gather(serve(options.control, relay.control), *(server.serve_forever() for server in servers))


if __name__ == "__main__":
    asyncio.run(main())
