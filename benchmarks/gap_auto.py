"""Floods of calls in vain to one number of a real fleet: gaps that set themselves, are held, eased and end.

In each flood something fails: the leader is killed, an instance is paused, a part of the fleet is cut off.

    python -m benchmarks.gap_auto --instances 3 --seconds 85 --seed 1
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from math import log
from pathlib import Path
from random import Random
from typing import Any

import anyio

from benchmarks.daemons import print_line
from harepick.fleet.history import Event
from harepick.fleet.runner import Report, ScenarioRunner
from harepick.fleet.scenario import make_scenario
from harepick.gapping.auto_gaps import HOLD_DEMAND, RELAX_STEPS, RENEW_AGE
from harepick.gapping.detector import AVERAGING_TIME_S

LEASE = 1.0
AFTER, TTL, INTERVAL = 0.5, 2.0, 0.5
PER_S = 40.0
BUSY, OTHER = "+94112345678", "+9455"
FIRST, EVERY, LENGTH = 4.0, 26.0, 8.0  # seconds of the floods
RATE, TIMES = 20.0, 10.0  # look-ups a second of the whole load, and how many times as many in a flood
# From a flood's begin until its gap is set: the demand has to be seen (a second's average) and told (with the
# next question for a lease) and to last. With the leader lost just then: its lease, an election, and the new
# one's own wait before it settles anything.
FOUND = 1.0 + 0.5 * LEASE + AFTER + 0.5
FOUND_LOST = FOUND + 1.1 * LEASE + 2.0 + 1.1 * LEASE
# From its end until the gap has ended: the demand that is remembered fades to half of `per_s`, the steps of
# the easing follow, each a little under a time to live, and the last ends by its own; a second for commits.
# With the leader lost the time to live counts anew, after an election.
CALM, FLOOD = RATE / 2, RATE * TIMES / 2  # to the busy number
FADES = AVERAGING_TIME_S * log((FLOOD - CALM) / (HOLD_DEMAND * PER_S - CALM))
LET_GO = FADES + (RELAX_STEPS * (1 - RENEW_AGE / 4) + 1) * TTL + 1.0
LET_GO_LOST = LET_GO + TTL + 2.2 * LEASE + 2.0


def floods(seconds: float) -> list[tuple[float, float]]:
    """When each begins and ends: as many as can come to their end."""
    found, at = [], FIRST
    while at + LENGTH + LET_GO_LOST <= seconds:
        found.append((at, at + LENGTH))
        at += EVERY
    return found


def table(instances: int, seconds: float, seed: int) -> dict[str, Any]:
    rng = Random(seed)
    kinds: list[dict[str, Any]] = [
        {"kind": "kill", "whom": "leader"},
        {"kind": "pause", "whom": "any"},
        {"kind": "partition", "groups": "{leader} | {rest}"},
        {"kind": "link", "from": "*", "to": "follower", "drop": True},
    ]
    rng.shuffle(kinds)
    faults = []
    for n, (begin, _) in enumerate(floods(seconds)):
        at = begin + rng.uniform(-1.0, 4.0)
        faults.append(kinds[n % len(kinds)] | {"at": at, "for_s": [1.5, 3.0]})
    return {
        "instances": instances,
        "servers": 2,
        "lease_ms": LEASE * 1000,
        "seconds": seconds,
        "busy": BUSY,
        "settings": f"[autogap]\nper_s = {PER_S}\nafter_s = {AFTER}\n"
        f"interval_s = {INTERVAL}\nttl_s = {TTL}\n",
        "load": {
            "rate": RATE,
            "numbers": {BUSY: 1.0, OTHER: 1.0},
            "burst": [{"at": begin, "for_s": end - begin, "times": TIMES} for begin, end in floods(seconds)],
        },
        "fault": faults,
        "checks": {name: {} for name in ("one_answer", "one_leader_a_term", "complete", "no_crash")}
        | {"one_pass_a_slot": {"most": 1}},
    }


def gaps(report: Report) -> list[tuple[str, float, float]]:
    """Each gap that was set: its number, and from when to when it held at the first instance that told."""
    begun: dict[int, Event] = {}
    ended: dict[int, float] = {}
    for event in report.events:
        if event.event == "verdict" and event["kind"] == "gapped":
            begun.setdefault(event["verdict"], event)
        elif event.event == "verdict_lifted":
            ended.setdefault(event["verdict"], event.mono - report.start)
    return [(e["subject"], e.mono - report.start, ended.get(n, float("inf"))) for n, e in begun.items()]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=85.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=3)
    wanted = parser.parse_args()
    scenario = make_scenario(table(wanted.instances, wanted.seconds, wanted.seed), "gap_auto")
    with tempfile.TemporaryDirectory() as folder:
        report = anyio.run(ScenarioRunner(scenario, wanted.seed, Path(folder)).run)
    for violation in report.told[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    return print_line(judged(wanted, report))


def judged(wanted: argparse.Namespace, report: Report) -> dict[str, Any]:
    """The line to print: every flood found once, held, and let go of; nothing else gapped."""
    found, let_go, flaps, strangers = [], [], 0, 0
    held = gaps(report)
    expected = floods(wanted.seconds)
    for number, begin, _ in held:
        in_time = any(since <= begin <= until for since, until in expected)
        strangers += number != BUSY or not in_time
    for since, until in expected:
        own = [(b, e) for number, b, e in held if number == BUSY and since <= b <= until]
        found.append(own[0][0] - since if own else float("inf"))
        let_go.append(max(e for _, e in own) - until if own else float("inf"))
        flaps += max(0, len(own) - 1) + sum(e < until for _, e in own)
    others = [
        e
        for e in report.events
        if e.event == "lookup"
        and e["prefix"] == OTHER
        and any(since + FOUND_LOST <= e.mono - report.start <= until for since, until in expected)
    ]
    served = sum(e["rcode"] == 0 for e in others) / len(others) if others else 1.0
    held_to = all(f <= FOUND_LOST for f in found) and all(g <= LET_GO_LOST for g in let_go)
    return {
        "benchmark": "gap_auto",
        "seed": wanted.seed,
        "ok": report.ok and bool(expected) and held_to and not flaps and not strangers,
        "seconds": wanted.seconds,
        "floods": len(expected),
        "found_s": [round(f, 2) for f in found],
        "found_bound_s": [round(FOUND, 2), round(FOUND_LOST, 2)],
        "let_go_s": [round(g, 2) for g in let_go],
        "let_go_bound_s": [round(LET_GO, 2), round(LET_GO_LOST, 2)],
        "flaps": flaps,
        "gapped_in_error": strangers,
        "others_served_share": round(served, 3),
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }


if __name__ == "__main__":
    sys.exit(main())
