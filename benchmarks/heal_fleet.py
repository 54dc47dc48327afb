"""Instances of a real fleet are lost until a majority of the first members is gone, and come back, in rounds.

In each round two of five go (killed, paused or cut off), the fleet drops them from the voters by itself,
and then a third one goes: changes of the configuration must go on. Then all come back, and all have to vote
again. With `--drop-after 0` nobody is dropped, and the third loss stops the store.

    python -m benchmarks.heal_fleet --seconds 98 --seed 1
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
from harepick.fleet.runner import Report, ScenarioRunner
from harepick.fleet.scenario import make_scenario

INSTANCES, KEEP = 5, 3
LEASE, DROP_AFTER = 0.6, 1.0
FIRST, ROUND = 2.0, 24.0  # seconds
# The third goes so long after the two: by then both are dropped. With the leader among them a lease, an
# election and the new leader's wait come first; then DROP_AFTER, and for each three commits and some looks.
THIRD = 7.0
BACK = 18.0  # and here all come back
# From here on the loss of the third is got over: an election, or, if it led and hangs, the tool's patience
# with it and with others that hang.
AWAY = THIRD + 6.0
NAMES = "abcde"


def rounds(seconds: float) -> list[float]:
    """When each begins."""
    return [FIRST + n * ROUND for n in range(int((seconds - FIRST) // ROUND))]


def table(seconds: float, seed: int, drop_after: float) -> dict[str, Any]:
    rng = Random(seed)
    faults: list[dict[str, Any]] = []
    for at in rounds(seconds):
        one, two, three = rng.sample(NAMES, 3)
        for name, kind in ((one, rng.choice(("kill", "pause"))), (two, rng.choice(("kill", "pause", "cut")))):
            begin = at + rng.uniform(0.0, 0.4)
            row = {"kind": kind, "whom": name, "at": begin, "for_s": at + BACK - begin}
            if kind == "cut":
                row = {"kind": "partition", "groups": f"{{{name}}} | {{rest}}"} | {
                    "at": begin,
                    "for_s": at + BACK - begin,
                }
            faults.append(row)
        kind = rng.choice(("kill", "pause"))
        faults.append({"kind": kind, "whom": three, "at": at + THIRD, "for_s": BACK - THIRD})
    checks = ("no_stale_act", "no_stale_arrival", "no_ack_lost", "one_answer", "one_leader_a_term")
    return {
        "instances": INSTANCES,
        "servers": 2,
        "lease_ms": LEASE * 1000,
        "seconds": seconds,
        "settings": f"[membership]\ndrop_after_s = {drop_after}\nkeep = {KEEP}\n",
        "load": {"rate": 100.0},
        "change": {"every_s": 0.25},
        "fault": faults,
        "checks": {name: {} for name in (*checks, "complete", "no_crash")} | {"voters_kept": {"least": KEEP}},
    }


def acked(report: Report, start: float, end: float) -> int:
    """Changes begun and acknowledged between two times, in seconds from the play's begin."""
    begun = {e["note"]: e.mono - report.start for e in report.events if e.event == "change"}
    return sum(
        start <= begun.get(e["note"], -1.0) and e.mono - report.start <= end
        for e in report.events
        if e.event == "acked"
    )


def whole(report: Report, since: float) -> float:
    """Seconds until all vote again after `since`; infinite if they do not before the next round."""
    for event in report.events:
        at = event.mono - report.start
        if event.event == "voters" and since <= at and len(event["voters"]) == INSTANCES:
            return at - since
    return float("inf")


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=98.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--drop-after", type=float, default=DROP_AFTER, help="seconds; 0: never")
    parser.add_argument("--keep", help="folder to keep histories and logs in")
    wanted = parser.parse_args()
    scenario = make_scenario(table(wanted.seconds, wanted.seed, wanted.drop_after), "heal_fleet")
    with tempfile.TemporaryDirectory() as aside:
        folder = Path(wanted.keep or aside)
        folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(ScenarioRunner(scenario, wanted.seed, folder).run)
    for violation in report.told[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    starts = rounds(wanted.seconds)
    went_on = [acked(report, at + AWAY, at + BACK) for at in starts]
    back = [whole(report, at + BACK) for at in starts]
    line = {
        "benchmark": "heal_fleet",
        "seed": wanted.seed,
        "ok": report.ok and bool(starts) and min(went_on) > 0 and max(back) <= ROUND - BACK,
        "seconds": wanted.seconds,
        "drop_after_s": wanted.drop_after,
        "rounds": len(starts),
        "acked_with_three_of_five_gone": went_on,
        "all_vote_again_s": [round(span, 2) for span in back],
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
