"""Checks the metrics, status and logs of running routers, and the checker's output for documents and edits."""

import subprocess
import sys
import time

import fleet
from checks import Checks


def run_program(name, *arguments):
    """Runs a kumquatbeam program; returns its exit code and output."""
    completed = subprocess.run([fleet.build_folder() / "apps" / f"kumquatbeam-{name}", *map(str, arguments)],
                               capture_output=True, text=True, timeout=30)
    return completed.returncode, completed.stdout + completed.stderr


def parse_metrics(text):
    """Parses a metrics page into a dict from name and labels to value."""
    return dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))


def check_running(checks):
    accounts = [fleet.Account("large", 2000), fleet.Account("small", 1000, queue_limit=1)]
    with fleet.Fleet(routers=2, engines=1, engine_slots=1, services=0, accounts=accounts) as running:
        router = running.routers[0]
        operator = f"{router.address}:{router.operator_port}"
        running.call(router, accounts[0], "model", "/generate", "id=a tokens=3 ms=5")
        running.call(router, fleet.Account("stranger"), "model", "/generate", "id=b tokens=1 ms=5")

        status, headers, body = fleet.http("GET", router.operator_url("/metrics"))
        metrics = parse_metrics(body.decode())
        checks.equal("the metrics page is plain text", (status, headers["Content-Type"].split(";")[0]), (200, "text/plain"))
        checks.equal("answers are counted", metrics['kumquatbeam_requests_total{outcome="answered",failure="none"}'], "1")
        checks.equal("refusals are counted",
                     metrics['kumquatbeam_requests_total{outcome="not-run",failure="unknown-account"}'], "1")
        checks.equal("the time to first byte is measured", metrics["kumquatbeam_first_byte_seconds_count"], "1")
        checks.true("control traffic is counted", wait_until(lambda: float(parse_metrics(fleet.http(
            "GET", router.operator_url("/metrics"))[2].decode())["kumquatbeam_control_sent_bytes_total"]) > 0))
        checks.true("the metrics show the capacity", float(metrics['kumquatbeam_pool_slots{pool="model"}']) == 1)

        checks.true("the status table shows no router cut off",
                    wait_until(lambda: "cut off: none" in run_program("status", operator)[1]))
        code, table = run_program("status", operator)
        checks.equal("the status table lists only the accounts that called",
                     (code, "large" in table, "small" in table), (0, True, False))
        running.kill(running.routers[1])
        checks.true("the status table shows a killed router as cut off",
                    wait_until(lambda: "cut off: r2" in run_program("status", operator)[1]))
        checks.equal("the status is available as JSON", run_program("status", "--json", operator)[1][:1], "{")
        running.publish_document("[shop a]\n")
        checks.true("the metrics count a refused document", wait_until(lambda:
                    'kumquatbeam_failures_total{part="configuration",failure="unknown-section"}'
                    in parse_metrics(fleet.http("GET", router.operator_url("/metrics"))[2].decode())))
        checks.equal("the status program reports an unreachable router", run_program("status", f"{router.address}:1")[0], 4)


def check_log_rate(checks):
    account = fleet.Account("chatty")
    with fleet.Fleet(routers=1, engines=1, services=0, accounts=[account], settings={"log-rate": 3}) as running:
        router = running.routers[0]
        for call in range(10):
            running.call(router, account, "model", "/generate", f"id={call} tokens=1 ms=1")
        time.sleep(1.2)
        running.call(router, account, "model", "/generate", "id=last tokens=1 ms=1")
        checks.true("log lines over the rate limit are dropped and counted",
                    wait_until(lambda: "log: dropped lines=" in running.read_log(router.name)))
        lines = running.read_log(router.name).count("placement: request=")
        checks.at_most("logged placements", lines, 8)

        running.extra_settings = {"strategy": "guesses"}
        running.kill(router)
        running.start_router(router)
        checks.equal("an unknown strategy is refused at startup", router.process.wait(10), 3)
        checks.true("the refusal lists the allowed names", "allowed local-only, " in running.read_log(router.name))


def wait_until(condition, seconds=10):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return False


def check_documents(checks):
    with fleet.Fleet(routers=0, engines=2, services=1) as planned:
        base = planned.document()
        files = {}

        def write_file(name, text):
            files[name] = planned.folder / f"{name}.ini"
            files[name].write_text(text)
            return files[name]

        def edit(current, proposed, team="accounts"):
            return run_program("check", "edit", f"--base={files['base']}", f"--current={write_file('current', current)}",
                               f"--new={write_file('new', proposed)}", f"--team={team}")

        write_file("base", base)
        larger = base.replace("share=8000", "share=9000")
        checks.equal("a valid document has no fault", run_program("check", "document", files["base"]), (0, ""))
        code, output = run_program("check", "document", write_file("broken", base.replace("share=8000", "share=0")))
        checks.equal("a fault report has line, range and owner",
                     (code, "line 3 [account account00] share" in output, "1 to 1000000000" in output,
                      "owner accounts" in output), (1, True, True, True))
        code, output = run_program("check", "diff", files["base"], write_file("larger", larger))
        checks.equal("a difference is reported by section and key",
                     (code, output), (5, "account account00: share 8000 -> 9000\n"))
        checks.equal("an edit by the owner is accepted", edit(base, larger), (0, ""))
        checks.equal("an edit by another team is refused", edit(base, larger, "models")[0], 1)
        code, output = edit(larger, base.replace("share=4000", "share=5000"))
        checks.equal("an edit that would revert an update is refused",
                     (code, "[account account00]" in output, "[account account01]" in output), (1, True, False))
        checks.equal("a missing file is reported", run_program("check", "document", "/nowhere.ini")[0], 3)


def main():
    checks = Checks("operator view")
    check_documents(checks)
    check_running(checks)
    check_log_rate(checks)
    return checks.conclude()


if __name__ == "__main__":
    sys.exit(main())
