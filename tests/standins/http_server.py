"""Minimal HTTP/1.1 server for the stand-ins, based on asyncio streams."""

import asyncio
import urllib.parse
from dataclasses import dataclass, field

REASONS = {200: "OK", 202: "Accepted", 304: "Not Modified", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 503: "Service Unavailable"}


@dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes


@dataclass
class Response:
    status: int = 200
    body: bytes = b""
    headers: dict = field(default_factory=dict)


async def read_request(reader):
    """Reads one request; raises asyncio.IncompleteReadError if the connection ends first."""
    request = await read_request_head(reader)
    request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
    return request


async def read_request_head(reader):
    """Reads a request up to its body; raises asyncio.IncompleteReadError if the connection ends first."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    parts = urllib.parse.urlsplit(target)
    return Request(method, parts.path, dict(urllib.parse.parse_qsl(parts.query)), headers, b"")


async def write_response(writer, response):
    """Writes a complete response."""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}"]
    headers = {"Content-Length": str(len(response.body)), "Connection": "close", **response.headers}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + response.body)
    await writer.drain()


async def start_chunked(writer, content_type, headers=None):
    """Writes the head of a chunked response."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n{lines}"
                 "Connection: close\r\n\r\n".encode())
    await writer.drain()


async def write_chunk(writer, data):
    """Writes one chunk; an empty chunk ends the response."""
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
    await writer.drain()


async def serve(port, handler, address="127.0.0.1", preamble=None):
    """Serves connections, one request each. The handler gets the request and the streams; if it returns a response, that is
    written to the connection. `preamble` returns bytes that are written before the request is read."""

    async def handle_connection(reader, writer):
        try:
            if preamble is not None:
                writer.write(preamble())
            request = await read_request(reader)
            response = await handler(request, reader, writer)
            if response is not None:
                await write_response(writer, response)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle_connection, address, port, backlog=512)
    async with server:
        await server.serve_forever()


def parse_fields(body):
    """Parses the space-separated `name=value` pairs of a request body."""
    return dict(word.split("=", 1) for word in body.decode("utf-8", "replace").split() if "=" in word)
