"""Limits shared over a fleet in a seeded virtual world: every window of admissions against the stated bound.

Shares, rule and purse are the real ones; the world is `benchmarks/fleet_world.py`. Demand is far over the
limit, skewed and moving.

    python -m benchmarks.limit_model --schedules 100000 --first-seed 1
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections import deque
from collections.abc import Mapping
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import RATES, SECONDS, TICK, Broken, Instance, Waits, World
from harepick.fleet.limits.purse import Limit, Purse
from harepick.fleet.limits.rule import Sight, decide
from harepick.fleet.limits.shares import Holding, RefusedSplitError, Shares

LIMIT, BURST = 40.0, 0.25  # calls a second over the fleet; seconds of a share that may be saved up
WINDOWS = (0.5, 1.0, 3.0)  # seconds
OFFERED = 5.0  # times the limit, over all instances
MOVES = 2.0  # seconds between two shifts of demand
BREAKS = ("", "no_confirmation", "lease_ignored", "unbudgeted", "no_wait_after_election")
EXACT = 1e-6


def bound(window: float, instances: int) -> float:
    """`docs/design/limits.md`: clocks run up to the highest rate of this world."""
    return RATES[1] * LIMIT * window + LIMIT * BURST + instances


class _Unbudgeted(Shares):
    """Broken on purpose: what was taken from one is free at once."""

    def _put(
        self, limit: str, budget: float, shares: dict[str, float], owed: dict[str, float], index: int
    ) -> None:
        super()._put(limit, budget, shares, {}, index)


class LimitWorld(World[Shares]):
    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.purses: dict[str, Purse] = {}
        self.owners: dict[str, Shares] = {}  # whose copy a purse is of: a restarted process has a new one
        self.followed: dict[str, int] = {}
        self.told: dict[str, Mapping[str, float]] = {}  # demand as the leader has it
        self.skew = dict.fromkeys(self.names, 1.0)
        self.recent: deque[float] = deque()
        self.admitted = self.offered = self.splits = 0
        self.worst = 0.0  # of the bound, the largest share that a window came to
        self.steady_until = 0.0

    def fresh(self) -> Shares:
        return _Unbudgeted() if self.broken == "unbudgeted" else Shares()

    def apply(self, state: Shares, index: int, command: Any) -> None:
        try:
            state.apply(index, command)
        except RefusedSplitError:
            return
        self.splits += state is self.truth

    def applied(self, instance: Instance[Shares]) -> None:
        name = instance.name
        if self.owners.get(name) is not instance.state:
            self.owners[name] = instance.state
            purse = self.purses[name] = Purse()
            purse.configure([Limit("x", LIMIT, BURST, prefixes=("+",))])
            self.followed[name] = -1
        if self.followed[name] != instance.state.version:
            self.followed[name] = instance.state.version
            share = instance.state.share("x", name)
            self.purses[name].hold({"x": share}, instance.clock(self.now))

    def committed(self, command: Any) -> None:
        known: Holding = self.truth.get("x")
        total = sum(known.ceiling(name) for name in self.names)
        if total > LIMIT * (1 + EXACT):
            raise Broken(f"{self.now:.3f}: {total:g} a second could be spent, and {LIMIT:g} may be")

    def lead(self, instance: Instance[Shares], live: frozenset[str], waits: Waits) -> None:
        sight = Sight(instance.name, 0, live, self.told, waits)
        if step := decide(instance.state, {"x": LIMIT}, sight):
            self.propose(instance.name, step)

    def tick(self, instance: Instance[Shares]) -> None:
        """Tells its demand, now and then."""
        purse = self.purses.get(instance.name)
        if purse and self.true_leader and self.rng.random() < 0.2:
            demand, name = purse.demands(instance.clock(self.now)), instance.name
            self.send(name, self.true_leader, lambda: self.told.update({name: demand}))

    def act(self, instance: Instance[Shares]) -> None:
        """Spends on the calls of one tick."""
        if self.owners.get(instance.name) is not instance.state:
            return
        self._check_shares()
        purse, clock = self.purses[instance.name], instance.clock(self.now)
        weight = self.skew[instance.name] / sum(self.skew.values())
        calls = OFFERED * LIMIT * TICK * weight
        for _ in range(int(calls) + (self.rng.random() < calls % 1)):
            self.offered += 1
            if purse.spend("+94", "", "", clock)[0] is None:
                self._admit()

    def _check_shares(self) -> None:
        """What may be spent now, by all that would spend it, is within the limit."""
        held = {
            name: self.purses[name].figures()["x"]["share"]
            for name, other in self.instances.items()
            if other.up and other.may_act(self.now) and self.owners.get(name) is other.state
        }
        if sum(held.values()) > LIMIT * (1 + EXACT):
            raise Broken(f"{self.now:.3f}: {held} are held at once, of {LIMIT:g}")

    def _admit(self) -> None:
        self.admitted += 1
        self.recent.append(self.now)
        while self.recent[0] <= self.now - max(WINDOWS):
            self.recent.popleft()
        for window in WINDOWS:
            count = 0
            for when in reversed(self.recent):
                if when <= self.now - window:
                    break
                count += 1
            allowed = bound(window, len(self.names))
            self.worst = max(self.worst, count / allowed)
            if count > allowed:
                raise Broken(f"{self.now:.3f}: {count} in {window:g} s, and {allowed:.1f} may be")

    def operate(self) -> None:
        self.at(0.0, self._shift)

    def _shift(self) -> None:
        """Demand moves."""
        self.at(self.now + self.rng.uniform(0.5, 1.5) * MOVES, self._shift)
        self.skew = {name: self.rng.choice((0.05, 1.0, 1.0, 6.0)) for name in self.names}

    def figures(self) -> dict[str, float]:
        return super().figures() | {
            "offered": self.offered,
            "admitted": self.admitted,
            "splits": self.splits,
            "used_share": self.admitted / (LIMIT * SECONDS),
            "worst_of_bound": self.worst,
        }


def schedule(seed: int, broken: str = "") -> tuple[dict[str, float], str]:
    return fleet_world.schedule(LimitWorld, seed, broken)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--schedules", type=int, default=100_000)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--break", dest="broken", choices=BREAKS, default="", help="break a rule on purpose")
    parser.add_argument("--processes", type=int, default=multiprocessing.cpu_count())
    wanted = parser.parse_args()
    found = fleet_world.many(
        LimitWorld,
        wanted.first_seed,
        wanted.schedules,
        wanted.broken,
        wanted.processes,
        ("worst_of_bound",),
    )
    total, _, played, _ = found
    total["used_share"] /= played
    enough = total["splits"] > 3 * played and total["used_share"] > 0.3
    return fleet_world.tell("limit_model", wanted.first_seed, found, enough, limit=LIMIT, burst_s=BURST)


if __name__ == "__main__":
    sys.exit(main())
