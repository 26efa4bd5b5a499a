"""Checks that connections to the operators' port that say nothing, or do not read their responses, take neither the descriptors
nor the memory of an entry router, and that an operator is still answered.

Guards against a failure like that of callers out of control: nothing bounded the connections of operators.
"""

import socket
import sys
import time

import fleet
import platform_fleet
from checks import Checks
from callers_out_of_control import DESCRIPTOR_BOUND, FILE_DESCRIPTORS, MEMORY_BOUND_KIB, MEMORY_MB, ProcessWatch, ordinary_call, \
    peak_memory_kib

# More connections than the process may have descriptors.
CONNECTIONS = 300

REQUESTS = {"silent": b"", "unread": b"GET /metrics HTTP/1.1\r\nHost: router\r\n\r\n"}


def check_part(checks, running, router, name, request):
    watch = ProcessWatch(router.process)
    watch.start()
    connections = []
    for _ in range(CONNECTIONS):
        connection = socket.create_connection((router.address, router.last_internal_port), timeout=5)
        connection.sendall(request)
        connections.append(connection)
    time.sleep(0.2)
    url = f"http://{router.address}:{router.last_internal_port}/status"
    try:
        status = fleet.http("GET", url)[0]
    except OSError as error:
        status = type(error).__name__
    checks.equal(f"{name}: an operator is answered", status, 200)
    checks.equal(f"{name}: one ordinary request is answered", ordinary_call(router, f"ordinary-{name}"), 200)
    checks.true(f"{name}: the process lives", router.process.poll() is None)
    watch.stopping.set()
    watch.join()
    checks.at_most(f"{name}: open descriptors", watch.most_descriptors, DESCRIPTOR_BOUND)
    checks.at_most(f"{name}: peak resident memory in KiB", peak_memory_kib(router.process), MEMORY_BOUND_KIB)
    for connection in connections:
        connection.close()


def main():
    checks = Checks("operators out of control")
    with platform_fleet.PlatformFleet(routers=1, memory_mb=MEMORY_MB, file_descriptors=FILE_DESCRIPTORS) as running:
        for name, request in REQUESTS.items():
            check_part(checks, running, running.routers[0], name, request)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
