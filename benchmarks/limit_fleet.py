"""One limit and some verdicts over a real fleet, with skewed and moving demand and faults in it.

Look-ups come for more than the limit allows; every window of admissions is checked against the stated bound,
and every verdict against the stated staleness. Look-ups that meet no limit go on beside them.

    python -m benchmarks.limit_fleet --instances 5 --seconds 120 --seed 1
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections.abc import Sequence
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import anyio

from benchmarks.daemons import print_line
from harepick.fleet.checks import trouble
from harepick.fleet.history import Event
from harepick.fleet.maintenance_rounds import call_until_answered
from harepick.fleet.runner import Report, ScenarioRunner
from harepick.fleet.scenario import make_scenario

LEASE = 1.0  # seconds
LIMIT = 60.0  # calls a second over the fleet
BURST = 0.5  # seconds of it that may be saved up
WINDOW = 1.0
OFFERED = 3.0  # times the limit
FREE = 0.3  # of the limit, in look-ups that meet none
LIMITED, UNLIMITED, EACH = "+9411", "+9455", "+9477"
# Of look-ups to `EACH` every caller may have so many a second; one wants far more, the others far less.
PER_CALLER, CALLER_BURST = 20.0, 0.5
CALLERS = {"127.0.1.1": 40.0, "127.0.1.2": 1.0, "127.0.1.3": 1.0, "127.0.1.4": 1.0}
GREEDY = "127.0.1.1"
SETTLED = 3.0  # seconds after a fault (or the start) in which shares move
EVERY = 6.0  # seconds from one verdict to the next
TTL = 2.0
RATE = 1.04  # of the fastest clock
# From a verdict's first being told until nobody acts against it: leases run out by the leader's measure, and
# if the leader is lost with it, an election before that.
STALE = 1.1 * LEASE + 1.5


def epsilon(instances: int) -> float:
    """What may be over the limit in a window: a call of each instance, and the burst."""
    return instances + LIMIT * BURST


def table(instances: int, seconds: float, seed: int) -> dict[str, Any]:
    """Skewed demand that moves every ten seconds, and a fault of each kind by turns."""
    rng = Random(seed)
    part = 12.0
    kinds: list[dict[str, Any]] = [
        {"kind": "partition", "groups": "{a} | {rest}" if instances < 5 else "{a, b} | {rest}"},
        {"kind": "pause", "whom": "follower"},
        {"kind": "kill", "whom": "any"},
        {"kind": "link", "from": "*", "to": rng.choice("ab"), "drop": True},
        {"kind": "pause", "whom": "leader"},
        {"kind": "partition", "groups": "{leader} | {rest}"},
    ]
    rng.shuffle(kinds)
    faults: list[dict[str, Any]] = []
    at = 8.0
    while at + 10.0 < seconds:
        row = dict(kinds[len(faults) % len(kinds)])
        faults.append(row | {"at": [at, at + 1.0], "for_s": [2.0, 4.0]})
        at += part
    shifts = []
    for n in range(1, int(seconds // 10) + 1):
        weights = [rng.choice((0.0, 1.0, 1.0, 4.0)) for _ in range(instances)]
        weights[rng.randrange(instances)] = 8.0
        shifts.append({"at": 10.0 * n - 5.0, "skew": weights})
    names = ("one_answer", "one_leader_a_term", "complete", "no_crash", "no_stale_act")
    return {
        "instances": instances,
        "servers": 3,
        "lease_ms": LEASE * 1000,
        "seconds": seconds,
        "settings": f'[[limit]]\nid = "appeal"\nper_s = {LIMIT}\nburst_s = {BURST}\nprefix = "{LIMITED}"\n'
        f'[[limit]]\nid = "desk"\neach = "caller"\nper_s = {PER_CALLER}\nburst_s = {CALLER_BURST}\n'
        f'prefix = "{EACH}"\n',
        "load": {
            "rate": LIMIT * (OFFERED + FREE) + sum(CALLERS.values()),
            "numbers": {LIMITED: OFFERED, UNLIMITED: FREE, EACH: sum(CALLERS.values()) / LIMIT},
            "callers": CALLERS,
            "shift": shifts,
        },
        # As far apart as clocks may be: 10% is the fence's.
        "clock_rate": {"a": 1.04, "b": 0.96},
        "fault": faults,
        "checks": {name: {} for name in names}
        | {
            "admissions": {"per_s": RATE * LIMIT, "window_s": WINDOW, "epsilon": epsilon(instances)},
            "admissions_by_caller": {
                "per_s": RATE * PER_CALLER,
                "window_s": WINDOW,
                "epsilon": instances + PER_CALLER * CALLER_BURST,
            },
            "verdict_staleness": {"bound_s": STALE},
        },
    }


async def verdicts(play: ScenarioRunner) -> None:
    """Every few seconds one server is judged to have failed, for a while; every third time the leader is lost
    in the same moment."""
    rng = Random(play.seed)
    async with play.client() as client:
        begun = anyio.current_time()
        await anyio.sleep(4.0)
        for n in count():
            if anyio.current_time() - begun > play.seconds - EVERY:
                return
            subject = f"s{rng.randrange(play.scenario.servers)}"
            async with anyio.create_task_group() as tasks:
                if n % 3 == 2:
                    tasks.start_soon(lose_leader, play, rng.uniform(0.0, 0.02))
                await call_until_answered(
                    client, "verdict_judge", {"kind": "failed", "subject": subject, "ttl": TTL}
                )
            await anyio.sleep(EVERY)


async def lose_leader(play: ScenarioRunner, after: float) -> None:
    """Kills whoever leads, in the middle of what is being settled, and starts it again."""
    await anyio.sleep(after)
    if leader := play.role("leader"):
        await play.apply_fault("kill", play.instances[leader])
        await anyio.sleep(1.0)
        await play.apply_fault("start", play.instances[leader])


def used(report: Report, admitted: Sequence[Event], start: float, end: float) -> float:
    """Share of the limit that was used between two times."""
    count = sum(start <= event.mono - report.start < end for event in admitted)
    return count / (LIMIT * (end - start)) if end > start else 0.0


def caller_share(admitted: Sequence[Event], seconds: float) -> float:
    """Share of its limit that one caller had, faults and all."""
    return round(len(admitted) / (PER_CALLER * seconds), 3)


def figures(report: Report) -> dict[str, Any]:
    rows = [event for event in report.events if event.event == "admitted"]
    admitted = [event for event in rows if event["limit"] == "appeal"]
    greedy = [event for event in rows if event["limit"] == f"desk@{GREEDY}"]
    wrong = trouble(report.events, report.start, report.seconds)
    steady_parts, at = [], SETTLED + 2.0
    while at + 1.0 <= report.seconds:
        if not any(since - 0.5 <= at + 1.0 and at <= until + SETTLED for since, until in wrong):
            steady_parts.append(used(report, admitted, at, at + 1.0))
        at += 1.0
    around = [used(report, admitted, since, min(until, report.seconds) + SETTLED) for since, until in wrong]
    calm = [
        event
        for event in report.events
        if event.event == "lookup"
        and event["answers"]
        and 5.0 < event.mono - report.start < report.seconds
        and not any(a - 0.5 <= event.mono - report.start <= b + SETTLED for a, b in wrong)
    ]
    refused = [event for event in calm if event["prefix"] == UNLIMITED and event["rcode"] != 0]
    light = [event for event in calm if event["prefix"] == EACH and event["caller"] != GREEDY]
    return {
        "limit": LIMIT,
        "bound": epsilon(report.figures.get("instances", 0)),
        "window_s": WINDOW,
        "stale_bound_ms": STALE * 1000,
        "admitted": len(admitted),
        "per_caller": PER_CALLER,
        "greedy_used_share": caller_share(greedy, report.seconds),
        "light_lookups": len(light),
        "light_refused_share": round(sum(e["rcode"] != 0 for e in light) / len(light), 4) if light else 0.0,
        "used_share_steady": round(sum(steady_parts) / len(steady_parts), 3) if steady_parts else 0.0,
        "used_share_steady_min": round(min(steady_parts, default=0.0), 3),
        "steady_seconds": len(steady_parts),
        "used_share_around_faults": [round(share, 3) for share in around],
        "calls_refused_wrongly": len(refused),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--keep", help="folder to keep histories and logs in")
    wanted = parser.parse_args()
    scenario = make_scenario(table(wanted.instances, wanted.seconds, wanted.seed), "limit_fleet")
    with tempfile.TemporaryDirectory() as aside:
        folder = Path(wanted.keep or aside)
        folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(ScenarioRunner(scenario, wanted.seed, folder, beside=verdicts).run)
    for violation in report.told[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    found = figures(report)
    line = {
        "benchmark": "limit_fleet",
        "seed": wanted.seed,
        "ok": report.ok and not found["calls_refused_wrongly"] and found["used_share_steady"] > 0.8,
        "seconds": wanted.seconds,
        **found,
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
