"""One limit and some verdicts over a real fleet, with skewed and moving demand, under faults.

More look-ups are offered than the limit allows. Every window of admissions is checked against the stated
bound, and every verdict against the stated staleness. Look-ups that no limit applies to run beside them.

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
from harepick.fleet.checks import find_fault_periods
from harepick.fleet.history import Event
from harepick.fleet.maintenance_rounds import call_until_answered
from harepick.fleet.runner import Report, ScenarioRunner
from harepick.fleet.scenario import make_scenario

LEASE_S = 1.0
LIMIT_PER_S = 60.0  # calls per second over the fleet
BURST_S = 0.5  # seconds of a share that a bucket holds
WINDOW_S = 1.0
OFFERED_LOAD = 3.0  # as a multiple of the limit
UNLIMITED_LOAD = 0.3  # look-ups that no limit applies to, as a multiple of the limit
LIMITED_PREFIX, FREE_PREFIX, CALLER_PREFIX = "+9411", "+9455", "+9477"
# Look-ups to `CALLER_PREFIX` are limited for each caller. One caller offers far more, the others far less.
CALLER_LIMIT_PER_S, CALLER_BURST_S = 20.0, 0.5
OFFERED_PER_S_BY_CALLER = {"127.0.1.1": 40.0, "127.0.1.2": 1.0, "127.0.1.3": 1.0, "127.0.1.4": 1.0}
GREEDY_CALLER = "127.0.1.1"
SETTLE_S = 3.0  # after a fault or the start, while shares move
VERDICT_INTERVAL_S = 6.0  # from one verdict to the next
VERDICT_TTL_S = 2.0  # time to live of a verdict
MAX_CLOCK_RATE = 1.04
# From a verdict's first report until no instance acts against it: leases have to expire by the leader's
# clock, and if the leader is lost at that moment, an election comes first.
MAX_STALENESS_S = 1.1 * LEASE_S + 1.5


def epsilon(instances: int) -> float:
    """Admissions allowed above the limit in a window: one call of each instance, and the burst."""
    return instances + LIMIT_PER_S * BURST_S


def table(instances: int, seconds: float, seed: int) -> dict[str, Any]:
    """The scenario: skewed demand that moves every ten seconds, and faults of each kind in turn."""
    rng = Random(seed)
    fault_interval = 12.0
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
        at += fault_interval
    shifts = []
    for n in range(1, int(seconds // 10) + 1):
        weights = [rng.choice((0.0, 1.0, 1.0, 4.0)) for _ in range(instances)]
        weights[rng.randrange(instances)] = 8.0
        shifts.append({"at": 10.0 * n - 5.0, "skew": weights})
    names = ("one_answer", "one_leader_a_term", "complete", "no_crash", "no_stale_act")
    return {
        "instances": instances,
        "servers": 3,
        "lease_ms": LEASE_S * 1000,
        "seconds": seconds,
        "settings": f'[[limit]]\nid = "appeal"\nper_s = {LIMIT_PER_S}\nburst_s = {BURST_S}\n'
        f'prefix = "{LIMITED_PREFIX}"\n'
        f'[[limit]]\nid = "desk"\neach = "caller"\nper_s = {CALLER_LIMIT_PER_S}\nburst_s = {CALLER_BURST_S}\n'
        f'prefix = "{CALLER_PREFIX}"\n',
        "load": {
            "rate": LIMIT_PER_S * (OFFERED_LOAD + UNLIMITED_LOAD) + sum(OFFERED_PER_S_BY_CALLER.values()),
            "numbers": {
                LIMITED_PREFIX: OFFERED_LOAD,
                FREE_PREFIX: UNLIMITED_LOAD,
                CALLER_PREFIX: sum(OFFERED_PER_S_BY_CALLER.values()) / LIMIT_PER_S,
            },
            "callers": OFFERED_PER_S_BY_CALLER,
            "shift": shifts,
        },
        # Almost as far apart as clocks may be: leases allow 10%.
        "clock_rate": {"a": 1.04, "b": 0.96},
        "fault": faults,
        "checks": {name: {} for name in names}
        | {
            "admissions": {
                "per_s": MAX_CLOCK_RATE * LIMIT_PER_S,
                "window_s": WINDOW_S,
                "epsilon": epsilon(instances),
            },
            "admissions_by_caller": {
                "per_s": MAX_CLOCK_RATE * CALLER_LIMIT_PER_S,
                "window_s": WINDOW_S,
                "epsilon": instances + CALLER_LIMIT_PER_S * CALLER_BURST_S,
            },
            "verdict_staleness": {"bound_s": MAX_STALENESS_S},
        },
    }


async def issue_verdicts(runner: ScenarioRunner) -> None:
    """Every few seconds issues a verdict that a server has failed.

    Every third time the leader is killed at the same moment."""
    rng = Random(runner.seed)
    async with runner.client() as client:
        began = anyio.current_time()
        await anyio.sleep(4.0)
        for n in count():
            if anyio.current_time() - began > runner.seconds - VERDICT_INTERVAL_S:
                return
            subject = f"s{rng.randrange(runner.scenario.servers)}"
            async with anyio.create_task_group() as tasks:
                if n % 3 == 2:
                    tasks.start_soon(kill_leader, runner, rng.uniform(0.0, 0.02))
                await call_until_answered(
                    client, "verdict_judge", {"kind": "failed", "subject": subject, "ttl": VERDICT_TTL_S}
                )
            await anyio.sleep(VERDICT_INTERVAL_S)


async def kill_leader(runner: ScenarioRunner, after: float) -> None:
    """Kills the leader `after` that many seconds, while a verdict is being committed, and restarts it."""
    await anyio.sleep(after)
    if leader := runner.role("leader"):
        await runner.apply_fault("kill", runner.instances[leader])
        await anyio.sleep(1.0)
        await runner.apply_fault("start", runner.instances[leader])


def used_share(report: Report, admitted: Sequence[Event], start: float, end: float) -> float:
    """Share of the limit that was used between two times, in seconds from the start."""
    calls = sum(start <= event.mono - report.start < end for event in admitted)
    return calls / (LIMIT_PER_S * (end - start)) if end > start else 0.0


def caller_share(admitted: Sequence[Event], seconds: float) -> float:
    """Share of its limit that one caller used over the whole run, faults included."""
    return round(len(admitted) / (CALLER_LIMIT_PER_S * seconds), 3)


def statistics(report: Report) -> dict[str, Any]:
    """The benchmark's own part of the JSON line."""
    all_admitted = [event for event in report.events if event.event == "admitted"]
    admitted = [event for event in all_admitted if event["limit"] == "appeal"]
    greedy = [event for event in all_admitted if event["limit"] == f"desk@{GREEDY_CALLER}"]
    fault_periods = find_fault_periods(report.events, report.start, report.seconds)
    steady_parts, at = [], SETTLE_S + 2.0
    while at + 1.0 <= report.seconds:
        if not any(since - 0.5 <= at + 1.0 and at <= until + SETTLE_S for since, until in fault_periods):
            steady_parts.append(used_share(report, admitted, at, at + 1.0))
        at += 1.0
    around = [
        used_share(report, admitted, since, min(until, report.seconds) + SETTLE_S)
        for since, until in fault_periods
    ]
    steady_lookups = [
        event
        for event in report.events
        if event.event == "lookup"
        and event["answers"]
        and 5.0 < event.mono - report.start < report.seconds
        and not any(
            start - 0.5 <= event.mono - report.start <= end + SETTLE_S for start, end in fault_periods
        )
    ]
    refused = [event for event in steady_lookups if event["prefix"] == FREE_PREFIX and event["rcode"] != 0]
    light = [
        event
        for event in steady_lookups
        if event["prefix"] == CALLER_PREFIX and event["caller"] != GREEDY_CALLER
    ]
    return {
        "limit": LIMIT_PER_S,
        "bound": epsilon(report.figures.get("instances", 0)),
        "window_s": WINDOW_S,
        "stale_bound_ms": MAX_STALENESS_S * 1000,
        "admitted": len(admitted),
        "per_caller": CALLER_LIMIT_PER_S,
        "greedy_used_share": caller_share(greedy, report.seconds),
        "light_lookups": len(light),
        "light_refused_share": round(sum(lookup["rcode"] != 0 for lookup in light) / len(light), 4)
        if light
        else 0.0,
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
    options = parser.parse_args()
    scenario = make_scenario(table(options.instances, options.seconds, options.seed), "limit_fleet")
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(options.keep or temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(ScenarioRunner(scenario, options.seed, folder, concurrent_task=issue_verdicts).run)
    for violation in report.kept_violations[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    result = statistics(report)
    line = {
        "benchmark": "limit_fleet",
        "seed": options.seed,
        "ok": report.ok and not result["calls_refused_wrongly"] and result["used_share_steady"] > 0.8,
        "seconds": options.seconds,
        **result,
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
