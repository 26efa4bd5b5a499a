"""Checks that a request passes from a caller through a router to an endpoint and back, and that invalid input is refused."""

import sys

import fleet
from checks import Checks


def main():
    checks = Checks("whole path")
    with fleet.Fleet(routers=2, engines=3, services=1) as running:
        router, account = running.routers[0], running.accounts[0]
        status, headers, body = running.call(router, account, "model", "/generate", "id=a tokens=3 ms=5")
        checks.equal("a model call is answered completely", (status, body), (200, b"a:0 a:1 a:2 end a 3\n"))
        checks.equal("the answer has its outcome", headers["Kumquatbeam-Outcome"], "answered")

        stranger = fleet.Account("stranger")
        status, headers, _ = running.call(router, stranger, "model", "/generate", "id=b tokens=3 ms=5")
        checks.equal("an unknown credential is refused", (status, headers["Kumquatbeam-Failure"]), (401, "unknown-account"))
        checks.equal("a refused call has the outcome not-run", headers["Kumquatbeam-Outcome"], "not-run")
        status, headers, _ = running.call(router, account, "nothing", "/generate", "")
        checks.equal("an unknown pool is refused", (status, headers["Kumquatbeam-Failure"]), (404, "unknown-pool"))
        status, headers, _ = running.call(router, account, "model", "/generate", "", Kumquatbeam_Deadline_Ms="soon")
        checks.equal("a malformed deadline is refused", (status, headers["Kumquatbeam-Failure"]), (400, "malformed-request"))
        status, headers, _ = running.call(router, account, "model", "/generate", "", Filler="x" * 20000)
        checks.equal("an oversized header is refused", (status, headers["Kumquatbeam-Failure"]), (400, "malformed-request"))
        status, headers, _ = running.call(router, account, "model", "/generate", "x" * 2000000)
        checks.equal("an oversized body is refused", (status, headers["Kumquatbeam-Failure"]), (413, "request-too-large"))

        status, _, body = running.call(router, account, "model", "/generate", "id=c tokens=2 ms=5")
        checks.equal("the router serves calls after invalid input", (status, body), (200, b"c:0 c:1 end c 2\n"))
        running.terminate(router)
        checks.equal("a shutdown exits with code 0", router.process.wait(20), 0)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
