"""Rolling maintenance of every server and some controllers of a real fleet, with faults in the middle.

The instances settle the order; an operator's tool asks for all machines at once, restarts or leaves alone
what is out, and says when it is done. Callers follow the instances' readiness, servers fail, and the plan
changes in the middle. What stand-in servers saw and what instances wrote down is checked.

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
PART = 12.0  # seconds from one fault to the next
FLEET = ("no_fresh_to_out", "no_fresh_from_out", "handover", "within_plan")


def table(instances: int, servers: int, seconds: float, seed: int) -> dict[str, Any]:
    """A fault every `PART` seconds, in an order that the seed draws."""
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
    while at + PART / 2 < seconds:
        if not faults or not kinds:
            rng.shuffle(kinds)
        row = dict(kinds[len(faults) % len(kinds)])
        faults.append(row | {"at": [at, at + 2.0], "for_s": [2.0, PART / 2]})
        at += PART
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
        # The plan changes as well, a revision after another.
        "change": {"every_s": 1.0, "settings": [f"max_out = {n}" for n in (MAX_OUT, MAX_OUT, 1)]},
        "fault": faults,
        "checks": {name: {} for name in (*names, "complete", "no_crash", *FLEET)}
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
    wanted = parser.parse_args()
    scenario = make_scenario(
        table(wanted.instances, wanted.servers, wanted.seconds, wanted.seed), "maint_fleet"
    )
    rounds = max(1, int(wanted.seconds // 40))
    rng = Random(wanted.seed)
    machines = [f"server:s{n}" for n in range(wanted.servers)]
    machines += [f"controller:{name}" for name in rng.sample(scenario.names, min(2, wanted.instances // 2))]
    rng.shuffle(machines)
    upkeep = MaintenanceRounds(machines, work=1.0, rounds=rounds)
    with tempfile.TemporaryDirectory() as aside:
        folder = Path(wanted.keep or aside)
        folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(ScenarioRunner(scenario, wanted.seed, folder, beside=upkeep.run).run)
    for violation in report.told:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
        for event in violation.stretch[:5]:
            print(f"    {event.told(report.start)}", file=sys.stderr)
    finished = upkeep.asked == upkeep.done == rounds * len(machines)
    line = {
        "benchmark": "maint_fleet",
        "seed": wanted.seed,
        "ok": report.ok and finished,
        "seconds": wanted.seconds,
        "max_out": MAX_OUT,
        "asked": upkeep.asked,
        "finished": finished,
        "calls_lost": report.figures.get("unanswered"),
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
