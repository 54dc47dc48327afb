"""Floods of failing calls to one number of a real fleet: automatic gaps are set, held, relaxed and ended.

Each flood comes with a fault: the leader is killed, an instance is paused, or part of the fleet is cut off.

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

LEASE_S = 1.0
AFTER_S, TTL_S, INTERVAL_S = 0.5, 2.0, 0.5  # `after_s`, `ttl_s` and `interval_s` of [autogap]
THRESHOLD_PER_S = 40.0
BUSY_NUMBER, OTHER_PREFIX = "+94112345678", "+9455"
# Start of the first flood, time from one to the next, and length of each.
FIRST_FLOOD_S, FLOOD_PERIOD_S, FLOOD_LENGTH_S = 4.0, 26.0, 8.0
LOOKUPS_PER_S, FLOOD_FACTOR = 20.0, 10.0  # look-ups per second of the whole load, and its factor in a flood
# From the start of a flood until its gap is set: the averaged demand has to reach the threshold (within a
# second), to be reported (with the next lease request) and to last for `AFTER_S`. If the leader is lost at
# that moment, its lease has to expire, an election follows, and the new leader waits before it decides
# anything.
SET_BOUND_S = 1.0 + 0.5 * LEASE_S + AFTER_S + 0.5
SET_BOUND_LEADER_LOST_S = SET_BOUND_S + 1.1 * LEASE_S + 2.0 + 1.1 * LEASE_S
# From the end of a flood until its gap has ended: the averaged demand decays to the share of `per_s` that
# still holds a gap (`HOLD_DEMAND`), the gap is relaxed in steps, each a little shorter than the time to live,
# and the last step expires; one second is for commits. If the leader is lost, the time to live starts again
# after an election.
CALM_PER_S, FLOOD_PER_S = LOOKUPS_PER_S / 2, LOOKUPS_PER_S * FLOOD_FACTOR / 2  # look-ups to the busy number
DECAY_S = AVERAGING_TIME_S * log((FLOOD_PER_S - CALM_PER_S) / (HOLD_DEMAND * THRESHOLD_PER_S - CALM_PER_S))
END_BOUND_S = DECAY_S + (RELAX_STEPS * (1 - RENEW_AGE / 4) + 1) * TTL_S + 1.0
END_BOUND_LEADER_LOST_S = END_BOUND_S + TTL_S + 2.2 * LEASE_S + 2.0


def floods(seconds: float) -> list[tuple[float, float]]:
    """Start and end of each flood whose gap can end in time, in seconds from the start."""
    periods, at = [], FIRST_FLOOD_S
    while at + FLOOD_LENGTH_S + END_BOUND_LEADER_LOST_S <= seconds:
        periods.append((at, at + FLOOD_LENGTH_S))
        at += FLOOD_PERIOD_S
    return periods


def table(instances: int, seconds: float, seed: int) -> dict[str, Any]:
    """The scenario: the floods, with a fault drawn for each."""
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
        "lease_ms": LEASE_S * 1000,
        "seconds": seconds,
        "busy": BUSY_NUMBER,
        "settings": f"[autogap]\nper_s = {THRESHOLD_PER_S}\nafter_s = {AFTER_S}\n"
        f"interval_s = {INTERVAL_S}\nttl_s = {TTL_S}\n",
        "load": {
            "rate": LOOKUPS_PER_S,
            "numbers": {BUSY_NUMBER: 1.0, OTHER_PREFIX: 1.0},
            "burst": [
                {"at": begin, "for_s": end - begin, "times": FLOOD_FACTOR} for begin, end in floods(seconds)
            ],
        },
        "fault": faults,
        "checks": {name: {} for name in ("one_answer", "one_leader_a_term", "complete", "no_crash")}
        | {"one_pass_a_slot": {"most": 1}},
    }


def gap_periods(report: Report) -> list[tuple[str, float, float]]:
    """Number, start and end of each gap that was set, as the first instance reported them."""
    begun: dict[int, Event] = {}
    ended: dict[int, float] = {}
    for event in report.events:
        if event.event == "verdict" and event["kind"] == "gapped":
            begun.setdefault(event["verdict"], event)
        elif event.event == "verdict_lifted":
            ended.setdefault(event["verdict"], event.mono - report.start)
    return [
        (first["subject"], first.mono - report.start, ended.get(number, float("inf")))
        for number, first in begun.items()
    ]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=85.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=3)
    options = parser.parse_args()
    scenario = make_scenario(table(options.instances, options.seconds, options.seed), "gap_auto")
    with tempfile.TemporaryDirectory() as folder:
        report = anyio.run(ScenarioRunner(scenario, options.seed, Path(folder)).run)
    for violation in report.kept_violations[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    return print_line(make_line(options, report))


def make_line(options: argparse.Namespace, report: Report) -> dict[str, Any]:
    """The JSON line. Each flood has to get exactly one gap, held and then ended; nothing else gets one."""
    set_after, ended_after, flaps, in_error = [], [], 0, 0
    held = gap_periods(report)
    expected = floods(options.seconds)
    for number, begin, _ in held:
        in_time = any(since <= begin <= until for since, until in expected)
        in_error += number != BUSY_NUMBER or not in_time
    for since, until in expected:
        own = [(start, e) for number, start, e in held if number == BUSY_NUMBER and since <= start <= until]
        set_after.append(own[0][0] - since if own else float("inf"))
        ended_after.append(max(e for _, e in own) - until if own else float("inf"))
        flaps += max(0, len(own) - 1) + sum(e < until for _, e in own)
    others = [
        e
        for e in report.events
        if e.event == "lookup"
        and e["prefix"] == OTHER_PREFIX
        and any(
            since + SET_BOUND_LEADER_LOST_S <= e.mono - report.start <= until for since, until in expected
        )
    ]
    served = sum(e["rcode"] == 0 for e in others) / len(others) if others else 1.0
    within_bounds = all(seconds <= SET_BOUND_LEADER_LOST_S for seconds in set_after) and all(
        seconds_to_end <= END_BOUND_LEADER_LOST_S for seconds_to_end in ended_after
    )
    return {
        "benchmark": "gap_auto",
        "seed": options.seed,
        "ok": report.ok and bool(expected) and within_bounds and not flaps and not in_error,
        "seconds": options.seconds,
        "floods": len(expected),
        "found_s": [round(seconds, 2) for seconds in set_after],
        "found_bound_s": [round(SET_BOUND_S, 2), round(SET_BOUND_LEADER_LOST_S, 2)],
        "let_go_s": [round(seconds_to_end, 2) for seconds_to_end in ended_after],
        "let_go_bound_s": [round(END_BOUND_S, 2), round(END_BOUND_LEADER_LOST_S, 2)],
        "flaps": flaps,
        "gapped_in_error": in_error,
        "others_served_share": round(served, 3),
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }


if __name__ == "__main__":
    sys.exit(main())
