"""Limits shared over a fleet in a seeded virtual world: every window of admissions against the stated bound.

Shares, rule and purse are the real ones; the world is `benchmarks/fleet_world.py`. Demand is far over the
limit, skewed and moving.

    python -m benchmarks.limit_model --schedules 100000 --first-seed 1 [--each caller]

With `--each caller` each caller has the limit for itself: some are greedy, and a table has no room for all.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Mapping
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import RATES, SECONDS, TICK, Broken, Instance, Waits, World
from harepick.fleet.limits.caller_buckets import CallerBuckets
from harepick.fleet.limits.limit_buckets import Limit, LimitBuckets
from harepick.fleet.limits.manager import MAX_STEPS
from harepick.fleet.limits.policy import ALL_CALLERS, FleetState, budgets, caller_limit_key, steps
from harepick.fleet.limits.shares import LimitAllocation, RefusedSplitError, Shares

LIMIT, BURST = 40.0, 0.25  # calls a second over the fleet; seconds of a share that may be saved up
WINDOWS = (0.5, 1.0, 3.0)  # seconds
OFFERED = 5.0  # times the limit, over all instances
BREAKS = ("", "no_confirmation", "lease_ignored", "unbudgeted", "no_wait_after_election", "forgetful")
GREEDY = ("u0", "u1")  # callers
STRANGERS = 12  # others, now and then
ROOMS = (1, 2, 8)  # callers in one instance's table
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
    callers: tuple[str, ...] = ("",)  # whose limit is looked at

    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.purses: dict[str, LimitBuckets] = {}
        self.owners: dict[str, Shares] = {}  # whose copy a purse is of: a restarted process has a new one
        self.followed: dict[str, int] = {}
        self.told: dict[str, Mapping[str, float]] = {}  # demand as the leader has it
        self.recent: deque[float] = deque()
        self.admitted = self.offered = self.splits = 0
        self.worst = 0.0  # of the bound, the largest share that a window came to
        self.calls = OFFERED * LIMIT  # a second, over all instances

    def purse(self) -> LimitBuckets:
        purse = LimitBuckets()
        purse.configure([Limit("x", LIMIT, BURST, prefixes=("+",))])
        return purse

    def shares(self, state: Shares, name: str) -> dict[str, float]:
        return {"x": state.share("x", name)}

    def budgets(self, state: Shares) -> dict[str, float]:
        return {"x": LIMIT}

    def caller(self) -> str:
        return ""

    def admit(self, caller: str) -> None:
        self._admit()

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
            self.purses[name] = self.purse()
            self.followed[name] = -1
        if self.followed[name] != instance.state.version:
            self.followed[name] = instance.state.version
            self.purses[name].set_shares(self.shares(instance.state, name), instance.clock(self.now))

    def committed(self, command: Any) -> None:
        known: LimitAllocation = self.truth.get("x")
        total = sum(known.ceiling(name) for name in self.names)
        if total > LIMIT * (1 + EXACT):
            raise Broken(f"{self.now:.3f}: {total:g} a second could be spent, and {LIMIT:g} may be")

    def lead(self, instance: Instance[Shares], live: frozenset[str], waits: Waits) -> None:
        sight = FleetState(instance.name, 0, live, self.told, waits)
        for step in steps(instance.state, self.budgets(instance.state), sight)[:MAX_STEPS]:
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
        calls = self.calls * TICK * weight
        for _ in range(int(calls) + (self.rng.random() < calls % 1)):
            self.offered += 1
            caller = self.caller()
            if purse.take_tokens("+94", "", caller, clock)[0] is None:
                self.admit(caller)

    def _check_shares(self) -> None:
        """What may be spent now, by all that would spend it, is within the limit."""
        able = [
            name
            for name, other in self.instances.items()
            if other.up and other.may_act(self.now) and self.owners.get(name) is other.state
        ]
        for caller in self.callers:
            held = {name: self.purses[name].rate("x", caller) for name in able}
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
        self.at(0.0, self.shift)

    def figures(self) -> dict[str, float]:
        return super().figures() | {
            "offered": self.offered,
            "admitted": self.admitted,
            "splits": self.splits,
            "used_share": self.admitted / (LIMIT * SECONDS),
            "worst_of_bound": self.worst,
        }


class _Forgetful(CallerBuckets):
    """Broken on purpose: whoever was dropped from the table comes back with all that may be saved up."""

    def _forget(self, caller: str, bucket: Any) -> None:
        self._spent_credit = float("-inf")


class CallerWorld(LimitWorld):
    """The limit is each caller's own."""

    callers = GREEDY

    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.by_caller: dict[str, deque[float]] = {}
        self.room = self.rng.choice(ROOMS)
        self.calls = 2 * OFFERED * LIMIT

    def purse(self) -> LimitBuckets:
        make = _Forgetful if self.broken == "forgetful" else CallerBuckets
        purse = LimitBuckets(lambda burst: make(burst, self.room))
        purse.configure([Limit("x", LIMIT, BURST, each=True)])
        return purse

    def shares(self, state: Shares, name: str) -> dict[str, float]:
        return {key: known.shares.get(name, 0.0) for key, known in state.limits.items()}

    def budgets(self, state: Shares) -> dict[str, float]:
        return budgets({"x": LIMIT}, frozenset("x"), state, self.told)

    def committed(self, command: Any) -> None:
        rows = self.truth.limits
        total = {key: sum(known.ceiling(name) for name in self.names) for key, known in rows.items()}
        base = total.pop(caller_limit_key("x", ALL_CALLERS), 0.0)
        most = max(total.values(), default=0.0)
        if base + most > LIMIT * (1 + EXACT):
            raise Broken(f"{self.now:.3f}: a caller could spend {base + most:g} a second, of {LIMIT:g}")

    def caller(self) -> str:
        if self.rng.random() < 0.9:
            return self.rng.choice(GREEDY)
        return f"v{self.rng.randrange(STRANGERS)}"

    def admit(self, caller: str) -> None:
        self.recent = self.by_caller.setdefault(caller, deque())
        self._admit()


def schedule(seed: int, broken: str = "", each: bool = False) -> tuple[dict[str, float], str]:
    return fleet_world.schedule(CallerWorld if each else LimitWorld, seed, broken)


def main() -> int:
    parser = fleet_world.arguments(__doc__, BREAKS)
    parser.add_argument("--each", choices=("caller",), help="each caller has the limit for itself")
    wanted = parser.parse_args()
    found = fleet_world.many(
        CallerWorld if wanted.each else LimitWorld,
        wanted.first_seed,
        wanted.schedules,
        wanted.broken,
        wanted.processes,
        ("worst_of_bound",),
    )
    total, _, played, _ = found
    total["used_share"] /= played * (len(GREEDY) if wanted.each else 1)
    # A table with room for one of two greedy callers gives each little: a third of the worlds have one.
    enough = total["splits"] > 3 * played and total["used_share"] > (0.2 if wanted.each else 0.3)
    more = {"limit": LIMIT, "burst_s": BURST, "each": wanted.each or ""}
    return fleet_world.tell("limit_model", wanted.first_seed, found, enough, **more)


if __name__ == "__main__":
    sys.exit(main())
