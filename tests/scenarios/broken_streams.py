"""Checks what callers of an entry router get when a worker breaks off in the head of its answer, or breaks off a stream that the
next worker does not continue: a whole answer, a failure, or a stream without its last chunk that holds nothing but its events."""

import sys

import platform_fleet
from checks import Checks
from platform_fleet import Caller, raw_exchange

EVENTS = 8

# What the second worker answers instead of the rest of a stream.
LATER_FAULTS = ("failure-page", "page", "no-content", "status-404", "refuse", "misdirect", "cut-head")


def expected_events(request_id, last):
    return "".join(f"id: {number}\ndata: {request_id} event {number}\n\n" for number in range(1, last + 1)).encode()


def raw_stream(router, request_id, path, **fields):
    """Returns the bytes that a caller gets for a stream, up to the end of the connection."""
    lines = {"Host": platform_fleet.HOST, "Authorization": "Bearer key-weavers", "Attempt-Id": request_id, "X-Events": EVENTS,
             "Deadline-Milliseconds": 8000, "Connection": "close", "Content-Length": 0,
             **{name.replace("_", "-"): value for name, value in fields.items()}}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return raw_exchange(router, f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())


def decode_chunks(encoded):
    """Returns the bytes of the whole chunks, and what follows them, which may be another message."""
    decoded = b""
    while b"\r\n" in encoded:
        size_line, rest = encoded.split(b"\r\n", 1)
        size = int(size_line, 16) if size_line.isalnum() else 0
        if size == 0 or len(rest) < size + 2:
            break
        decoded, encoded = decoded + rest[:size], rest[size + 2:]
    return decoded, encoded


def check_streams(checks, router):
    """The second worker's error, at times with its head, came in the middle of a stream, or the stream ended as if it were whole."""
    head, _, rest = raw_stream(router, "continued", "/plan/1", X_Fault="inside").partition(b"\r\n\r\n")
    checks.equal("a stream that the next worker continues is whole", decode_chunks(rest),
                 (expected_events("continued", EVENTS), b"0\r\n\r\n"))
    for fault in LATER_FAULTS:
        name = f"broken-{fault}"
        head, _, rest = raw_stream(router, name, "/plan/1", X_Fault="inside", X_Later_Fault=fault).partition(b"\r\n\r\n")
        checks.true(f"the stream begins before it breaks off ({fault})", head.startswith(b"HTTP/1.1 200 "), head)
        events, remainder = decode_chunks(rest)
        checks.true(f"the caller gets nothing but the stream's events ({fault})",
                    events and expected_events(name, EVENTS).startswith(events) and b"HTTP/1.1" not in rest, rest)
        checks.equal(f"the stream does not end as if it were whole ({fault})", remainder, b"")
        whole = Caller(router).call(f"after-{name}", "/plan/1", X_Events=EVENTS)
        checks.equal(f"the next stream is whole ({fault})", whole[::2], (200, expected_events(f"after-{name}", EVENTS)))


def check_heads(checks, running, router):
    """A worker stopped in the middle of its answer's head, and the caller got a 200 with an empty body."""
    for path, fields, expected in (("/order/1", {}, 502), ("/lookup/1", {}, 200), ("/quote/1", {"X_Events": EVENTS}, 502),
                                   ("/plan/1", {"X_Events": EVENTS}, 200)):
        for number in range(3):
            name = f"head-{path[1:5]}{number}"
            status, _, body = Caller(router).call(name, path, X_Fault="cut-head", **fields)
            checks.equal(f"the status behind half a head ({name})", status, expected)
            whole = body == expected_events(name, EVENTS) if fields else path.encode() in (body or b"")
            checks.true(f"a success behind half a head is a whole answer ({name})", status != 200 or whole, body)
            checks.equal(f"arrivals of {name}", len(running.arrivals_of(name)), 1 if expected == 502 else 2)
            Caller(router).call(f"after-{name}", path, **fields)


def check_other_answers(checks, router):
    """A worker answers a stream's request with something that is no stream."""
    caller = Caller(router)
    for path in ("/quote/1", "/plan/1"):
        status, fields, body = caller.call(f"page{path[1:5]}", path, X_Fault="page", X_Events=EVENTS)
        checks.equal(f"a page is delivered as it is ({path})", (status, fields["Content-Type"], body),
                     (200, "text/html", b"id: 9000\ndata: an error page\n\n"))
        status, fields, _ = caller.call(f"none{path[1:5]}", path, X_Fault="no-content", X_Events=EVENTS)
        checks.equal(f"an answer without a body has no chunks ({path})", (status, fields["Transfer-Encoding"]), (204, None))
        whole = caller.call(f"next{path[1:5]}", path, X_Events=EVENTS)
        checks.equal(f"the next stream on the connection is whole ({path})", whole[::2],
                     (200, expected_events(f"next{path[1:5]}", EVENTS)))


def main():
    checks = Checks("broken streams")
    # At most half of the workers of a service are ejected, so that two are left for each retry.
    with platform_fleet.PlatformFleet(routers=1, engines=4, plain_workers=4) as running:
        router = running.routers[0]
        check_streams(checks, router)
        check_heads(checks, running, router)
        check_other_answers(checks, router)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
