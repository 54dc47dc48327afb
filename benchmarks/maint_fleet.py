"""Rolling maintenance of every server and some controllers of a real fleet, under faults.

The operator's tool requests maintenance of all machines at once, restarts or leaves alone each one that is
out, and reports when it is done; the instances decide the order. Callers follow the readiness of the
instances, servers fail, and the settings of maintenance change meanwhile. The checks use what the fake
servers received and what the instances recorded.

    python -m benchmarks.maint_fleet --instances 5 --servers 6 --seconds 120 --seed 1
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
from harepick.fleet.maintenance_rounds import MaintenanceRounds
from harepick.fleet.runner import ScenarioRunner
from harepick.fleet.scenario import make_scenario

MAX_OUT = 2
FAULT_INTERVAL_S = 12.0
FLEET_CHECKS = ("no_fresh_to_out", "no_fresh_from_out", "handover", "within_plan")


def table(instances: int, servers: int, seconds: float, seed: int) -> dict[str, Any]:
    """The scenario: a fault every `FAULT_INTERVAL_S` seconds, in an order drawn from the seed."""
    rng = Random(seed)
    kinds: list[dict[str, Any]] = [
        {"kind": "link", "from": "leader", "to": "*", "drop": True},
        {"kind": "link", "from": "*", "to": rng.choice("abc"), "drop": True},
        {"kind": "partition", "groups": "{leader} | {rest}"},
        {"kind": "pause", "whom": "leader"},
        {"kind": "pause", "whom": "follower"},
        {"kind": "kill", "whom": "leader"},
        {"kind": "kill", "whom": "follower"},
        {"kind": "server", "whom": "any", "mode": "silent"},
        {"kind": "server", "whom": "any", "mode": "failing"},
        {
            "kind": "link",
            "from": "*",
            "to": "*",
            "loss": 0.03,
            "delay_ms": 5,
            "jitter_ms": 30,
            "reorder": 0.05,
        },
    ]
    faults: list[dict[str, Any]] = []
    at = 2.0
    while at + FAULT_INTERVAL_S / 2 < seconds:
        if not faults or not kinds:
            rng.shuffle(kinds)
        row = dict(kinds[len(faults) % len(kinds)])
        faults.append(row | {"at": [at, at + 2.0], "for_s": [2.0, FAULT_INTERVAL_S / 2]})
        at += FAULT_INTERVAL_S
    names = ("no_stale_act", "no_stale_arrival", "no_ack_lost", "one_answer", "one_leader_a_term")
    return {
        "scenario": "maint_fleet",
        "instances": instances,
        "servers": servers,
        "lease_ms": 1000,
        "seconds": seconds,
        "settings": '[[maintenance.group]]\nname = "north"\nservers = ["s0", "s1"]\n'
        f"[maintenance]\nmax_out_controllers = 1\nfloor = {servers - MAX_OUT}\nhandover_s = 1.0\n",
        "load": {"rate": 30 * instances, "follow": True},
        # The settings of maintenance change as well, revision by revision.
        "change": {"every_s": 1.0, "settings": [f"max_out = {n}" for n in (MAX_OUT, MAX_OUT, 1)]},
        "fault": faults,
        "checks": {name: {} for name in (*names, "complete", "no_crash", *FLEET_CHECKS)}
        | {"most_out": {"servers": MAX_OUT, "controllers": 1}, "above_floor": {"recovers_s": 5.0}},
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--keep", help="folder to keep histories and logs in")
    options = parser.parse_args()
    scenario = make_scenario(
        table(options.instances, options.servers, options.seconds, options.seed), "maint_fleet"
    )
    rounds = max(1, int(options.seconds // 40))
    rng = Random(options.seed)
    machines = [f"server:s{n}" for n in range(options.servers)]
    machines += [f"controller:{name}" for name in rng.sample(scenario.names, min(2, options.instances // 2))]
    rng.shuffle(machines)
    maintenance = MaintenanceRounds(machines, work=1.0, rounds=rounds)
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(options.keep or temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(
            ScenarioRunner(scenario, options.seed, folder, concurrent_task=maintenance.run).run
        )
    for violation in report.kept_violations:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
        for event in violation.events[:5]:
            print(f"    {event.as_row(report.start)}", file=sys.stderr)
    finished = maintenance.asked == maintenance.done == rounds * len(machines)
    line = {
        "benchmark": "maint_fleet",
        "seed": options.seed,
        "ok": report.ok and finished,
        "seconds": options.seconds,
        "max_out": MAX_OUT,
        "asked": maintenance.asked,
        "finished": finished,
        "calls_lost": report.figures.get("unanswered"),
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
