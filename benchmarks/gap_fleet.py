"""One gap over a real fleet: at most one call per interval passes, at all instances together.

Demand is skewed and moves, and instances are killed, paused and cut off. Every call that passes is recorded
with its slot.

    python -m benchmarks.gap_fleet --instances 3 --seconds 60 --seed 1
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any

import anyio

from benchmarks.daemons import print_line
from harepick.fleet.checks import find_fault_periods
from harepick.fleet.runner import Report, ScenarioRunner
from harepick.fleet.scenario import make_scenario

LEASE_S = 1.0
GAPPED_PREFIX, OTHER_PREFIX = "+9411", "+9455"
SETTLE_S = 3.0  # after a fault, while slots move between instances
# To gapped numbers, over the fleet, by kind of demand.
LOOKUPS_PER_S = {"even": 60.0, "skewed": 60.0, "thin": 6.0}


def table(instances: int, seconds: float, seed: int, interval: float, demand: str) -> dict[str, Any]:
    """The scenario: look-ups with the given kind of demand, and faults of each kind in turn."""
    rng = Random(seed)
    kinds: list[dict[str, Any]] = [
        {"kind": "kill", "whom": "follower"},
        {"kind": "pause", "whom": "any"},
        {"kind": "partition", "groups": "{a} | {rest}"},
        {"kind": "kill", "whom": "leader"},
    ]
    rng.shuffle(kinds)
    faults: list[dict[str, Any]] = []
    at = 10.0
    while at + 8.0 < seconds:
        row = dict(kinds[len(faults) % len(kinds)])
        faults.append(row | {"at": [at, at + 1.0], "for_s": [1.5, 3.0]})
        at += 12.0
    shifts = []
    if demand != "even":
        for n in range(int(seconds // 15) + 1):
            weights = [1.0] * instances
            weights[rng.randrange(instances)] = 10.0
            shifts.append({"at": 15.0 * n, "skew": weights})
    rate = LOOKUPS_PER_S[demand]
    return {
        "instances": instances,
        "servers": 2,
        "lease_ms": LEASE_S * 1000,
        "seconds": seconds,
        "settings": f'[[gap]]\nid = "radio"\nprefix = "{GAPPED_PREFIX}"\ninterval_s = {interval}\n',
        "load": {"rate": rate * 1.3, "numbers": {GAPPED_PREFIX: 1.0, OTHER_PREFIX: 0.3}, "shift": shifts},
        "fault": faults,
        "checks": {name: {} for name in ("one_answer", "one_leader_a_term", "complete", "no_crash")}
        | {"one_pass_a_slot": {"most": 1}},
    }


def used_share(report: Report, interval: float, start: float, end: float) -> float:
    """Share of the slots in which a call passed, between two times in seconds from the start."""
    slots = {
        event["slot"]
        for event in report.events
        if event.event == "passed" and start <= event.mono - report.start < end
    }
    return len(slots) * interval / (end - start) if end > start else 0.0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--interval", type=float, default=0.5, help="seconds")
    parser.add_argument("--demand", choices=sorted(LOOKUPS_PER_S), default="skewed")
    options = parser.parse_args()
    scenario_table = table(options.instances, options.seconds, options.seed, options.interval, options.demand)
    scenario = make_scenario(scenario_table, "gap_fleet")
    with tempfile.TemporaryDirectory() as folder:
        report = anyio.run(ScenarioRunner(scenario, options.seed, Path(folder)).run)
    for violation in report.kept_violations[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    fault_periods = find_fault_periods(report.events, report.start, report.seconds)
    steady_parts, at = [], 3.0
    while at + 2.0 <= report.seconds:
        if not any(since - 0.5 <= at + 2.0 and at <= until + SETTLE_S for since, until in fault_periods):
            steady_parts.append(used_share(report, options.interval, at, at + 2.0))
        at += 2.0
    around = [
        round(used_share(report, options.interval, since, min(until + SETTLE_S, report.seconds)), 3)
        for since, until in fault_periods
    ]
    steady = sum(steady_parts) / len(steady_parts) if steady_parts else 0.0
    line = {
        "benchmark": "gap_fleet",
        "seed": options.seed,
        "ok": report.ok and steady > 0.5,
        "seconds": options.seconds,
        "interval": options.interval,
        "demand": options.demand,
        "used_share_steady": round(steady, 3),
        "used_share_steady_min": round(min(steady_parts, default=0.0), 3),
        "used_share_around_faults": around,
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
