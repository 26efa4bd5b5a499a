#!/usr/bin/env python3
"""Measures the fairness of a fleet of real processes, with the same load and seed for each strategy.

Prints the largest service gap between backlogged accounts, the utilisation relative to a single router over the same
slots, the control bytes per second of each router, and the share of its service that the other accounts keep during a
flood of low and then of high urgency.
"""

import argparse
import json
import pathlib
import subprocess
import time

import fleet as fleets

MODEL_EXCHANGE_PERIOD_MS, MODEL_LEASE_MS = 1500, 4500
BOOKING_EXCHANGE_PERIOD_MS, BOOKING_LEASE_MS = 1000, 4000
ENGINES, ENGINE_SLOTS, SERVICES, SERVICE_SLOTS = 10, 8, 3, 4
SLOTS = {"model": ENGINES * ENGINE_SLOTS, "booking": SERVICES * SERVICE_SLOTS}
EXCHANGE_PERIOD_SECONDS = {"model": MODEL_EXCHANGE_PERIOD_MS / 1000, "booking": BOOKING_EXCHANGE_PERIOD_MS / 1000}
TOKEN_MS, TOKENS_LOW, TOKENS_HIGH = 100, 10, 20
BOOKING_MS = 50
WARM_UP_SECONDS = 11.0
SAMPLE_SECONDS = 0.5
FRAME_HEADER_BYTES = 40
FLOODER_INDEX = 14
PHASES = ("calm", "flood-low", "flood-high")
SINGLE_ROUTER = "single-router"
STRATEGIES = ("local-only", "static-slices", "shared-counters", "leased-quotas")

# Backlogged accounts: index in the account list, calls in flight, routers called.
MODEL_LOAD = [(0, 60, "0 1"), (1, 30, "1"), (2, 20, "4"), (3, 10, "0"), (4, 10, "0 1 2 3 4"), (5, 10, "3"), (6, 10, "0 3"),
              (7, 10, "2"), (8, 10, "0"), (9, 10, "0"), (10, 10, "1 2"), (11, 10, "0 1 2 3 4"), (12, 10, "3"), (15, 6, "1")]
BOOKING_LOAD = [(0, 12, "0 1"), (1, 8, "1"), (3, 6, "0"), (5, 6, "3"), (15, 4, "4")]
FLOOD_CALLS = 300


def stream(name, account, pool, kind, **values):
    lines = [f"[stream {name}]", f"account={account.name}", f"credential={account.credential}", f"pool={pool}", f"kind={kind}"]
    return "\n".join(lines + [f"{key.replace('_', '-')}={value}" for key, value in values.items()]) + "\n\n"


def mix(accounts, phase_seconds, single):
    """Builds the load mix, which is the same for every strategy; a single router receives all of it."""
    text = ""
    target_routers = lambda routers: "0" if single else routers
    for index, calls, routers in MODEL_LOAD:
        text += stream(f"model{index}", accounts[index], "model", "model", outstanding=calls,
                       routers=target_routers(routers), pace_ms=TOKEN_MS, tokens_low=TOKENS_LOW, tokens_high=TOKENS_HIGH)
    for index, calls, routers in BOOKING_LOAD:
        text += stream(f"booking{index}", accounts[index], "booking", "booking", outstanding=calls,
                       routers=target_routers(routers), pace_ms=BOOKING_MS)
    for number, urgency in ((1, "low"), (2, "high")):
        start = WARM_UP_SECONDS + number * phase_seconds
        text += stream(f"flood-{urgency}", accounts[FLOODER_INDEX], "model", "model", outstanding=FLOOD_CALLS, urgency=urgency,
                       routers=target_routers("0 1 2 3 4"), pace_ms=TOKEN_MS, tokens_low=TOKENS_LOW, tokens_high=TOKENS_HIGH,
                       starts_after_ms=int(start * 1000), ends_after_ms=int((start + phase_seconds) * 1000))
    return text


class Observer:
    """Samples the routers' status and the endpoints' counts. The sums include the counters of earlier incarnations."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.status_by_incarnation = {}

    def sample(self):
        for router in self.fleet.routers:
            try:
                status = json.loads(fleets.http("GET", router.operator_url("/status"), timeout=0.5)[2])
            except OSError:
                continue
            self.status_by_incarnation[(router.name, status["incarnation"])] = status
        served, control, costs = {}, {}, {}
        for (router, _), status in self.status_by_incarnation.items():
            for row in status["accounts"]:
                key = (row["pool"], row["account"])
                served[key] = served.get(key, 0) + row["served_slot_us"] / 1e6
            control[router] = control.get(router, 0) + status["control_bytes_sent"] + FRAME_HEADER_BYTES * status["control_frames_sent"]
            for row in status.get("pools", []):
                costs[row["pool"]] = row["mean_cost_slot_us"] / 1e6
        busy = {"model": self.fleet.engine_counts(), "booking": self.fleet.service_counts()}
        return {"at": time.monotonic(), "served": served, "control": control, "costs": costs,
                "busy": {pool: sum(row["busy_seconds"] for row in rows) for pool, rows in busy.items()},
                "overload": {pool: sum(row["overload"] for row in rows) for pool, rows in busy.items()}}


def fairness_bound(pool, accounts, load, cost):
    """Returns the bound of docs/DESIGN-FAIRNESS.md in slot-seconds per share, for the pool's observed mean cost."""
    shares = [accounts[index].share / 1000 for index, _, _ in load]
    largest_cost = TOKENS_HIGH * TOKEN_MS / 1000 if pool == "model" else 2 * BOOKING_MS / 1000
    exchange_period = EXCHANGE_PERIOD_SECONDS[pool]
    horizon = cost + 2 * exchange_period
    arbiters = len(fleets.DOMAINS)
    return (largest_cost + arbiters * horizon) / min(shares) + SLOTS[pool] / sum(shares) * (
        largest_cost + 2 * exchange_period + horizon)


def largest_gap(samples, pool, accounts, load):
    """Returns the largest difference in service per share between two backlogged accounts, in slot-seconds.

    Service counts from the first sample.
    """
    largest = 0.0
    for sample in samples[1:]:
        service_per_share = []
        for index, _, _ in load:
            key = (pool, accounts[index].name)
            service = sample["served"].get(key, 0) - samples[0]["served"].get(key, 0)
            service_per_share.append(service / (accounts[index].share / 1000))
        largest = max(largest, max(service_per_share) - min(service_per_share))
    return largest


def starved(samples, pool, accounts, load):
    """Returns the backlogged accounts that received no service during the run."""
    return [accounts[index].name for index, _, _ in load
            if samples[-1]["served"].get((pool, accounts[index].name), 0) == samples[0]["served"].get((pool, accounts[index].name), 0)]


def apply_fault(fleet, kind, begin):
    router = fleet.routers[0]
    others = ",".join(str(other.relay_port) for other in fleet.routers if other is not router)
    if kind == "kill":
        fleet.kill(router) if begin else fleet.start_router(router)
    elif kind == "freeze":
        fleet.freeze(router) if begin else fleet.thaw(router)
    elif kind == "cut":
        mode = "cut" if begin else "pass"
        fleet.relay(from_=router.address, to=others, mode=mode)
        fleet.relay(from_="all", to=router.relay_port, mode=mode)


def run(strategy, options):
    """Runs a fleet under the whole load; returns its accounts, all samples and the first sample of each phase."""
    single = strategy == SINGLE_ROUTER
    phase_seconds = options.seconds / len(PHASES)
    # A single router queues all waiting requests, so its queue limit equals the sum of five routers' limits.
    queue_limit = 1000 if single else 200
    shares = [8000, 4000, 2000] + [1000] * 12 + [250]
    accounts = [fleets.Account(f"account{number:02}", share, queue_limit) for number, share in enumerate(shares)]
    with fleets.Fleet(routers=1 if single else 5, engines=ENGINES, engine_slots=ENGINE_SLOTS, services=SERVICES,
                      service_slots=SERVICE_SLOTS, accounts=accounts, strategy="local-only" if single else strategy,
                      relay=options.fault == "cut", log_level="warning",
                      model_pool=f"beat-ms={MODEL_EXCHANGE_PERIOD_MS}\nlease-ms={MODEL_LEASE_MS}\n",
                      service_pool=f"beat-ms={BOOKING_EXCHANGE_PERIOD_MS}\nlease-ms={BOOKING_LEASE_MS}\n") as fleet:
        mix_path = pathlib.Path(fleet.folder) / "mix.ini"
        mix_path.write_text(mix(accounts, phase_seconds, single))
        targets = ",".join(f"{router.address}:{router.caller_port}" for router in fleet.routers)
        load = fleet.spawn("load", [fleets.build_folder() / "apps" / "kumquatbeam-load", f"--routers={targets}",
                                    f"--mix={mix_path}", f"--seconds={int(WARM_UP_SECONDS + options.seconds + 2)}",
                                    f"--seed={options.seed}"])
        started = time.monotonic()
        observer, samples, starts = Observer(fleet), [], []
        fault_at = [WARM_UP_SECONDS + phase_seconds / 3, WARM_UP_SECONDS + phase_seconds / 3 + options.fault_seconds]
        while load.poll() is None and len(starts) < len(PHASES) + 1:
            now = time.monotonic() - started
            if options.fault != "none" and not single and fault_at and now >= fault_at[0]:
                apply_fault(fleet, options.fault, len(fault_at) == 2)
                fault_at.pop(0)
            sample = observer.sample()
            if now >= WARM_UP_SECONDS:
                samples.append(sample)
            if now >= WARM_UP_SECONDS + len(starts) * phase_seconds:
                starts.append(sample)
            time.sleep(SAMPLE_SECONDS)
        return {"accounts": accounts, "samples": samples, "starts": starts}


def utilisation(result, pool):
    first, last = result["samples"][0], result["samples"][-1]
    return (last["busy"][pool] - first["busy"][pool]) / (last["at"] - first["at"]) / SLOTS[pool]


def others_rates(result):
    """Returns, for each phase, the service per second of all accounts except the flooder in the model pool."""
    rates = []
    for first, last in zip(result["starts"], result["starts"][1:]):
        flooder = ("model", result["accounts"][FLOODER_INDEX].name)
        total = lambda sample: sum(value for key, value in sample["served"].items() if key[0] == "model" and key != flooder)
        rates.append((total(last) - total(first)) / (last["at"] - first["at"]))
    return rates


def backlogged(load, options):
    """Returns the accounts that stay backlogged; with a fault, excludes those that call only the faulty router."""
    return [row for row in load if options.fault == "none" or row[2] != "0"]


def report(name, result, baseline, options):
    accounts, samples = result["accounts"], result["samples"]
    seconds = samples[-1]["at"] - samples[0]["at"]
    lines = [f"{name:16}"]
    for pool, load in (("model", backlogged(MODEL_LOAD, options)), ("booking", backlogged(BOOKING_LOAD, options))):
        gap = largest_gap(samples, pool, accounts, load)
        gap_bound = fairness_bound(pool, accounts, load, samples[-1]["costs"].get(pool, 0))
        pool_utilisation = utilisation(result, pool)
        overload = samples[-1]["overload"][pool] - samples[0]["overload"][pool]
        lines.append(f"{pool}: gap {gap:7.2f} ({gap / gap_bound:5.2f} of bound {gap_bound:6.2f}) use {pool_utilisation:.3f}"
                     f" ({pool_utilisation / utilisation(baseline, pool):.3f} of single) queued at endpoints {overload}"
                     f" starved {len(starved(samples, pool, accounts, load))}")
    rates = [(samples[-1]["control"][router] - samples[0]["control"].get(router, 0)) / seconds for router in samples[-1]["control"]]
    lines.append(f"control B/s mean {sum(rates) / len(rates):.0f} max {max(rates):.0f}")
    calm, low, high = others_rates(result)
    lines.append(f"others keep: low flood {low / calm:.3f}, high flood {high / calm:.3f}")
    print("\n    ".join(lines), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--strategy", default=",".join(STRATEGIES), help="comma-separated strategies")
    parser.add_argument("--seconds", type=float, default=30, help="measured seconds for each strategy, in three phases")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", choices=("none", "kill", "cut", "freeze"), default="none", help="fault to inject into r1")
    parser.add_argument("--fault-seconds", type=float, default=5)
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.seconds:g} s per strategy, fault {options.fault}; gaps in slot-seconds per share")
    baseline = run(SINGLE_ROUTER, options)
    report(SINGLE_ROUTER, baseline, baseline, options)
    for strategy in options.strategy.split(","):
        report(strategy, run(strategy, options), baseline, options)


if __name__ == "__main__":
    main()
