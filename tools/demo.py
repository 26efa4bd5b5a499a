"""Runs a demonstration fleet: five routers in three failure domains, model engines and booking services, under two floods.

Prints the results of each load stream, the service that each account received, and the command that shows the status of a
running router.
"""

import argparse
import json
import subprocess
import sys

import fleet

STREAM = """[stream {name}]
account={account}
credential={credential}
pool={pool}
kind={kind}
urgency={urgency}
outstanding={outstanding}
tokens-low={low}
tokens-high={high}
pace-ms={pace}
starts-after-ms={start}
ends-after-ms={end}
routers={routers}

"""


def stream(account, name, **changes):
    """Formats one stream section of a load mix."""
    values = {"name": name, "account": account.name, "credential": account.credential, "pool": "model", "kind": "model",
              "urgency": "normal", "outstanding": 4, "low": 10, "high": 40, "pace": 20, "start": 0, "end": 0, "routers": ""}
    values.update(changes)
    return STREAM.format(**values)


def mix(accounts, seconds):
    """Builds a load mix in which every account sends requests all the time.

    The first account floods at low urgency in the second third, the second account at high urgency in the last third.
    """
    text = ""
    for index, account in enumerate(accounts):
        text += stream(account, f"{account.name}-models", routers=str(index % 5))
        text += stream(account, f"{account.name}-orders", pool="booking", kind="booking", outstanding=2, pace=50)
    third = seconds * 1000 // 3
    text += stream(accounts[0], "flood-low", urgency="low", outstanding=60, start=third, end=2 * third)
    text += stream(accounts[1], "flood-high", urgency="high", outstanding=60, start=2 * third)
    return text


def run_load(running, text, seconds, seed=1):
    """Runs kumquatbeam-load against all routers; returns one report per stream."""
    path = running.folder / "mix.ini"
    path.write_text(text)
    targets = ",".join(f"{router.address}:{router.caller_port}" for router in running.routers)
    output = subprocess.run([fleet.build_folder() / "apps" / "kumquatbeam-load", f"--routers={targets}", f"--mix={path}",
                             f"--seconds={seconds}", f"--seed={seed}"], check=True, capture_output=True, text=True).stdout
    return [json.loads(line) for line in output.splitlines()]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=15)
    options = parser.parse_args()
    with fleet.Fleet() as running:
        router = running.routers[0]
        print("five routers are running; to see the status of one, run in another terminal:")
        print(f"  build/default/apps/kumquatbeam-status {router.address}:{router.operator_port}")
        reports = run_load(running, mix(running.accounts, options.seconds), options.seconds)
        print(f"\n{'stream':<20} {'share':>6} {'sent':>6} {'answered':>8} {'not run':>8} {'unknown':>8} {'wrong':>6} {'p95 first byte':>15}")
        shares = {account.name: account.share for account in running.accounts}
        for report in reports:
            print(f"{report['stream']:<20} {shares[report['account']] / 1000:>6.2f} {report['sent']:>6} {report['answered']:>8} "
                  f"{report['not_run']:>8} {report['unknown']:>8} {report['wrong']:>6} {report['first_byte_p95_ms']:>12.0f} ms")
        totals = {}
        for observed in running.routers:
            for row in running.status(observed)["accounts"]:
                key = (row["pool"], row["account"])
                totals[key] = totals.get(key, 0) + row["served_slot_us"]
        print("\nservice in slot-seconds, total and per share:")
        for (pool, account), served in sorted(totals.items()):
            print(f"  {pool:<8} {account:<12} {served / 1e6:>8.1f} {served / 1e3 / shares[account]:>8.1f}")
        wrong = sum(report["wrong"] for report in reports)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
