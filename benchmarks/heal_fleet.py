"""Rounds in which a real fleet loses a majority of its first members one by one and gets them back.

In each round two of five instances are killed, paused or cut off. The fleet drops them from the voters by
itself, then a third one is lost: changes of the configuration must still be possible. Then all come back and
have to vote again. With `--drop-after 0` none is dropped, and the third loss stops the store.

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

INSTANCES, KEEP_VOTERS = 5, 3
LEASE_S, DROP_AFTER_S = 0.6, 1.0
FIRST_ROUND_S, ROUND_S = 2.0, 24.0
# The third instance is lost this long after the first two, which are dropped by then. If the leader was one
# of them, a lease, an election and the new leader's wait come first; then `DROP_AFTER_S`, and for each
# instance three commits and a few rounds of the membership manager.
THIRD_LOSS_S = 7.0
RETURN_S = 18.0  # when all come back
# From here on changes must succeed: the loss of the third takes an election, and if it was the leader and is
# paused, also the tool's time-outs for it and for other paused instances.
RECOVERED_S = THIRD_LOSS_S + 6.0
NAMES = "abcde"


def rounds(seconds: float) -> list[float]:
    """Start of each round, in seconds from the start of the scenario."""
    return [FIRST_ROUND_S + n * ROUND_S for n in range(int((seconds - FIRST_ROUND_S) // ROUND_S))]


def table(seconds: float, seed: int, drop_after: float) -> dict[str, Any]:
    """The scenario: three losses in each round, drawn from the seed."""
    rng = Random(seed)
    faults: list[dict[str, Any]] = []
    for at in rounds(seconds):
        first, second, third = rng.sample(NAMES, 3)
        for name, kind in (
            (first, rng.choice(("kill", "pause"))),
            (second, rng.choice(("kill", "pause", "cut"))),
        ):
            begin = at + rng.uniform(0.0, 0.4)
            row = {"kind": kind, "whom": name, "at": begin, "for_s": at + RETURN_S - begin}
            if kind == "cut":
                row = {"kind": "partition", "groups": f"{{{name}}} | {{rest}}"} | {
                    "at": begin,
                    "for_s": at + RETURN_S - begin,
                }
            faults.append(row)
        kind = rng.choice(("kill", "pause"))
        faults.append(
            {"kind": kind, "whom": third, "at": at + THIRD_LOSS_S, "for_s": RETURN_S - THIRD_LOSS_S}
        )
    checks = ("no_stale_act", "no_stale_arrival", "no_ack_lost", "one_answer", "one_leader_a_term")
    return {
        "instances": INSTANCES,
        "servers": 2,
        "lease_ms": LEASE_S * 1000,
        "seconds": seconds,
        "settings": f"[membership]\ndrop_after_s = {drop_after}\nkeep = {KEEP_VOTERS}\n",
        "load": {"rate": 100.0},
        "change": {"every_s": 0.25},
        "fault": faults,
        "checks": {name: {} for name in (*checks, "complete", "no_crash")}
        | {"voters_kept": {"least": KEEP_VOTERS}},
    }


def acknowledged_changes(report: Report, start: float, end: float) -> int:
    """Number of changes begun and acknowledged between two times, in seconds from the start."""
    begun = {event["note"]: event.mono - report.start for event in report.events if event.event == "change"}
    return sum(
        start <= begun.get(event["note"], -1.0) and event.mono - report.start <= end
        for event in report.events
        if event.event == "acked"
    )


def seconds_until_all_vote(report: Report, since: float) -> float:
    """Seconds from `since` until all instances vote; infinite if they never do."""
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
    parser.add_argument("--drop-after", type=float, default=DROP_AFTER_S, help="seconds; 0: never")
    parser.add_argument("--keep", help="folder to keep histories and logs in")
    options = parser.parse_args()
    scenario = make_scenario(table(options.seconds, options.seed, options.drop_after), "heal_fleet")
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(options.keep or temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(ScenarioRunner(scenario, options.seed, folder).run)
    for violation in report.kept_violations[:10]:
        print(f"{violation.check}: {violation.why}", file=sys.stderr)
    starts = rounds(options.seconds)
    changes = [acknowledged_changes(report, at + RECOVERED_S, at + RETURN_S) for at in starts]
    recovery_times = [seconds_until_all_vote(report, at + RETURN_S) for at in starts]
    line = {
        "benchmark": "heal_fleet",
        "seed": options.seed,
        "ok": report.ok and bool(starts) and min(changes) > 0 and max(recovery_times) <= ROUND_S - RETURN_S,
        "seconds": options.seconds,
        "drop_after_s": options.drop_after,
        "rounds": len(starts),
        "acked_with_three_of_five_gone": changes,
        "all_vote_again_s": [round(seconds, 2) for seconds in recovery_times],
        **report.figures,
        "violations": report.violations,
        "error": report.error,
    }
    return print_line(line)


if __name__ == "__main__":
    sys.exit(main())
