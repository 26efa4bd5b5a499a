"""A TCP proxy in front of one port, which can be cut like a link: while it is cut, nothing passes and nothing is reset.
Connections from before or during the cut stay silent for good; new ones work when the cut has healed."""

import asyncio


class Connection:
    def __init__(self, is_silent):
        self.is_silent = is_silent


class Link:
    def __init__(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.is_cut = False
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port, backlog=512)

    def cut(self):
        self.is_cut = True
        for connection in self.connections:
            connection.is_silent = True

    def heal(self):
        self.is_cut = False

    async def accept(self, reader, writer):
        connection = Connection(self.is_cut)
        self.connections.add(connection)
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(self.pump(connection, reader, target_writer),
                                 self.pump(connection, target_reader, writer))
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def pump(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if not connection.is_silent:
                    writer.write(data)
                    await writer.drain()
        finally:
            writer.close()
