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
from pathlib import Path
from random import Random
from typing import Any

import anyio

from benchmarks.daemons import print_line
from harepick.fleet.checks import trouble
from harepick.fleet.history import Event
from harepick.fleet.play import Play, Report
from harepick.fleet.scenario import make_scenario
from harepick.fleet.upkeep import steady

LEASE = 1.0  # seconds
LIMIT = 60.0  # calls a second over the fleet
BURST = 0.5  # seconds of it that may be saved up
WINDOW = 1.0
OFFERED = 3.0  # times the limit
FREE = 0.3  # of the limit, in look-ups that meet none
LIMITED, UNLIMITED = "+9411", "+9455"
SETTLED = 3.0  # seconds after a fault (or the start) in which shares move
EVERY = 6.0  # seconds from one verdict to the next
TTL = 2.0
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
        "settings": f'[[limit]]\nid = "appeal"\nper_s = {LIMIT}\nburst_s = {BURST}\nprefix = "{LIMITED}"\n',
        "load": {
            "rate": LIMIT * (OFFERED + FREE),
            "numbers": {LIMITED: OFFERED, UNLIMITED: FREE},
            "shift": shifts,
        },
        "fault": faults,
        "checks": {name: {} for name in names}
        | {
            "admissions": {"per_s": LIMIT, "window_s": WINDOW, "epsilon": epsilon(instances)},
            "verdict_staleness": {"bound_s": STALE},
        },
    }


async def verdicts(play: Play) -> None:
    """Every few seconds one server is judged to have failed, for a while."""
    rng = Random(play.seed)
    async with play.client() as client:
        begun = anyio.current_time()
        await anyio.sleep(4.0)
        while anyio.current_time() - begun < play.seconds - EVERY:
            subject = f"s{rng.randrange(play.scenario.servers)}"
            await steady(client, "verdict_judge", {"kind": "failed", "subject": subject, "ttl": TTL})
            await anyio.sleep(EVERY)


def used(report: Report, admitted: Sequence[Event], start: float, end: float) -> float:
    """Share of the limit that was used between two times."""
    count = sum(start <= event.mono - report.start < end for event in admitted)
    return count / (LIMIT * (end - start)) if end > start else 0.0


def figures(report: Report) -> dict[str, Any]:
    admitted = [event for event in report.events if event.event == "admitted"]
    wrong = trouble(report.events, report.start, report.seconds)
    steady_parts, at = [], SETTLED + 2.0
    while at + 1.0 <= report.seconds:
        if not any(since - 0.5 <= at + 1.0 and at <= until + SETTLED for since, until in wrong):
            steady_parts.append(used(report, admitted, at, at + 1.0))
        at += 1.0
    around = [used(report, admitted, since, min(until, report.seconds) + SETTLED) for since, until in wrong]
    refused = [
        event
        for event in report.events
        if event.event == "lookup"
        and event["prefix"] == UNLIMITED
        and event["answers"]
        and event["rcode"] != 0
        and 2.0 < event.mono - report.start < report.seconds
        and not any(a - 0.5 <= event.mono - report.start <= b + SETTLED for a, b in wrong)
    ]
    return {
        "limit": LIMIT,
        "bound": epsilon(report.figures.get("instances", 0)),
        "window_s": WINDOW,
        "stale_bound_ms": STALE * 1000,
        "admitted": len(admitted),
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
        report = anyio.run(Play(scenario, wanted.seed, folder, beside=verdicts).run)
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
