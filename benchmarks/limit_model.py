"""Simulates limits that a fleet shares, and checks every window of admissions against the stated bound.

Shares, policy and token buckets are the production code; the simulation is `benchmarks/fleet_world.py`.
Demand is far over the limit, skewed, and moves between instances.

    python -m benchmarks.limit_model --schedules 100000 --first-seed 1 [--each caller]

With `--each caller` the limit applies to each caller: some are greedy, and an instance's table may be too
small for all.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Mapping
from typing import Any

from benchmarks import fleet_world
from benchmarks.fleet_world import CLOCK_RATES, SCHEDULE_S, TICK_S, Instance, UnconfirmedBy, Violation, World
from harepick.fleet.limits.caller_buckets import CallerBuckets
from harepick.fleet.limits.limit_buckets import Limit, LimitBuckets
from harepick.fleet.limits.manager import MAX_STEPS
from harepick.fleet.limits.policy import ALL_CALLERS, LimitFleetState, budgets, caller_limit_key, steps
from harepick.fleet.limits.shares import LimitAllocation, RefusedSplitError, Shares

LIMIT_PER_S, BURST_S = 40.0, 0.25  # calls per second over the fleet; seconds of a share that a bucket holds
WINDOWS_S = (0.5, 1.0, 3.0)
OFFERED_LOAD = 5.0  # as a multiple of the limit, over all instances
BREAKS = ("", "no_confirmation", "lease_ignored", "unbudgeted", "no_wait_after_election", "forgetful")
GREEDY_CALLERS = ("u0", "u1")
OTHER_CALLERS = 12  # callers that make the remaining tenth of the calls
TABLE_SIZES = (1, 2, 8)  # callers that fit in one instance's table
ROUNDING_TOLERANCE = 1e-6


def bound(window: float, instances: int) -> float:
    """Most admissions in a window of that many seconds, with the fastest clock of this simulation.

    The bound is the one of `docs/design/limits.md`."""
    return CLOCK_RATES[1] * LIMIT_PER_S * window + LIMIT_PER_S * BURST_S + instances


class _Unbudgeted(Shares):
    """Broken on purpose: a share that was taken from an instance can be given away at once."""

    def _put(
        self, limit: str, budget: float, shares: dict[str, float], owed: dict[str, float], index: int
    ) -> None:
        super()._put(limit, budget, shares, {}, index)


class LimitWorld(World[Shares]):
    """One limit over the whole fleet; counts and checks its admissions."""

    checked_callers: tuple[str, ...] = ("",)  # callers whose shares are checked

    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.buckets: dict[str, LimitBuckets] = {}
        self.state_copies: dict[str, Shares] = {}  # copies that buckets follow; new after a restart
        self.applied_versions: dict[str, int] = {}
        # Instance -> demand by limit, as last reported to the leader.
        self.reported_demand: dict[str, Mapping[str, float]] = {}
        self.recent_admissions: deque[float] = deque()
        self.admitted = self.offered = self.splits = 0
        self.max_bound_share = 0.0  # largest number of admissions in a window, as a share of the bound
        self.offered_per_s = OFFERED_LOAD * LIMIT_PER_S  # calls, over all instances

    def new_buckets(self) -> LimitBuckets:
        """The token buckets of a new process."""
        buckets = LimitBuckets()
        buckets.configure([Limit("x", LIMIT_PER_S, BURST_S, prefixes=("+",))])
        return buckets

    def shares(self, state: Shares, name: str) -> dict[str, float]:
        """Limit key -> share of that instance, per second."""
        return {"x": state.share("x", name)}

    def budgets(self, state: Shares) -> dict[str, float]:
        """Limit key -> rate to be shared out, per second."""
        return {"x": LIMIT_PER_S}

    def draw_caller(self) -> str:
        """Draws the caller of a call."""
        return ""

    def record_admission(self, caller: str) -> None:
        """Counts an admitted call and checks the windows that end with it."""
        self._record_admission()

    def initial_state(self) -> Shares:
        return _Unbudgeted() if self.broken == "unbudgeted" else Shares()

    def apply(self, state: Shares, index: int, command: Any) -> None:
        try:
            state.apply(index, command)
        except RefusedSplitError:
            return
        self.splits += state is self.committed_state

    def on_applied(self, instance: Instance[Shares]) -> None:
        """Gives the buckets new shares, and a new process new buckets."""
        name = instance.name
        if self.state_copies.get(name) is not instance.state:
            self.state_copies[name] = instance.state
            self.buckets[name] = self.new_buckets()
            self.applied_versions[name] = -1
        if self.applied_versions[name] != instance.state.version:
            self.applied_versions[name] = instance.state.version
            self.buckets[name].set_shares(self.shares(instance.state, name), instance.clock(self.now))

    def on_committed(self, command: Any) -> None:
        """Checks that the shares, with what is still owed, stay within the limit."""
        allocation: LimitAllocation = self.committed_state.get("x")
        total = sum(allocation.ceiling(name) for name in self.names)
        if total > LIMIT_PER_S * (1 + ROUNDING_TOLERANCE):
            raise Violation(
                f"{self.now:.3f}: {total:g} calls/s could be admitted, the limit is {LIMIT_PER_S:g}"
            )

    def act_as_leader(
        self, instance: Instance[Shares], live: frozenset[str], unconfirmed_by: UnconfirmedBy
    ) -> None:
        fleet = LimitFleetState(instance.name, 0, live, self.reported_demand, unconfirmed_by)
        for step in steps(instance.state, self.budgets(instance.state), fleet)[:MAX_STEPS]:
            self.propose(instance.name, step)

    def tick(self, instance: Instance[Shares]) -> None:
        """Reports its demand to the leader, at random ticks."""
        buckets = self.buckets.get(instance.name)
        if buckets and self.true_leader and self.rng.random() < 0.2:
            demand, name = buckets.demands(instance.clock(self.now)), instance.name
            self.send(name, self.true_leader, lambda: self.reported_demand.update({name: demand}))

    def act(self, instance: Instance[Shares]) -> None:
        """Takes tokens for the calls of one tick."""
        if self.state_copies.get(instance.name) is not instance.state:
            return
        self._check_shares()
        buckets, clock = self.buckets[instance.name], instance.clock(self.now)
        weight = self.skew[instance.name] / sum(self.skew.values())
        calls = self.offered_per_s * TICK_S * weight
        for _ in range(int(calls) + (self.rng.random() < calls % 1)):
            self.offered += 1
            caller = self.draw_caller()
            if buckets.take_tokens("+94", "", caller, clock)[0] is None:
                self.record_admission(caller)

    def _check_shares(self) -> None:
        """Checks that the rates of all instances that may act now add up to no more than the limit."""
        active = [
            name
            for name, other in self.instances.items()
            if other.up and other.may_act(self.now) and self.state_copies.get(name) is other.state
        ]
        for caller in self.checked_callers:
            rates = {name: self.buckets[name].rate("x", caller) for name in active}
            if sum(rates.values()) > LIMIT_PER_S * (1 + ROUNDING_TOLERANCE):
                raise Violation(f"{self.now:.3f}: the shares {rates} exceed the limit of {LIMIT_PER_S:g}")

    def _record_admission(self) -> None:
        self.admitted += 1
        self.recent_admissions.append(self.now)
        while self.recent_admissions[0] <= self.now - max(WINDOWS_S):
            self.recent_admissions.popleft()
        for window in WINDOWS_S:
            count = 0
            for when in reversed(self.recent_admissions):
                if when <= self.now - window:
                    break
                count += 1
            allowed = bound(window, len(self.names))
            self.max_bound_share = max(self.max_bound_share, count / allowed)
            if count > allowed:
                raise Violation(
                    f"{self.now:.3f}: {count} admissions in {window:g} s, the bound is {allowed:.1f}"
                )

    def start_load(self) -> None:
        self.call_at(0.0, self.shift_demand)

    def statistics(self) -> dict[str, float]:
        return super().statistics() | {
            "offered": self.offered,
            "admitted": self.admitted,
            "splits": self.splits,
            "used_share": self.admitted / (LIMIT_PER_S * SCHEDULE_S),
            "worst_of_bound": self.max_bound_share,
        }


class _Forgetful(CallerBuckets):
    """Broken on purpose: a caller that was dropped from the table comes back with a full bucket."""

    def _forget(self, caller: str, bucket: Any) -> None:
        self._spent_credit = float("-inf")


class CallerWorld(LimitWorld):
    """The limit applies to each caller."""

    checked_callers = GREEDY_CALLERS

    def __init__(self, seed: int, broken: str = "") -> None:
        super().__init__(seed, broken)
        self.admissions_by_caller: dict[str, deque[float]] = {}
        self.table_size = self.rng.choice(TABLE_SIZES)
        self.offered_per_s = 2 * OFFERED_LOAD * LIMIT_PER_S

    def new_buckets(self) -> LimitBuckets:
        bucket_class = _Forgetful if self.broken == "forgetful" else CallerBuckets
        buckets = LimitBuckets(lambda burst: bucket_class(burst, self.table_size))
        buckets.configure([Limit("x", LIMIT_PER_S, BURST_S, each=True)])
        return buckets

    def shares(self, state: Shares, name: str) -> dict[str, float]:
        return {key: allocation.shares.get(name, 0.0) for key, allocation in state.limits.items()}

    def budgets(self, state: Shares) -> dict[str, float]:
        return budgets({"x": LIMIT_PER_S}, frozenset("x"), state, self.reported_demand)

    def on_committed(self, command: Any) -> None:
        limits = self.committed_state.limits
        total = {
            key: sum(allocation.ceiling(name) for name in self.names) for key, allocation in limits.items()
        }
        base = total.pop(caller_limit_key("x", ALL_CALLERS), 0.0)
        highest = max(total.values(), default=0.0)
        if base + highest > LIMIT_PER_S * (1 + ROUNDING_TOLERANCE):
            raise Violation(
                f"{self.now:.3f}: a caller has {base + highest:g} calls/s of at most {LIMIT_PER_S:g}"
            )

    def draw_caller(self) -> str:
        if self.rng.random() < 0.9:
            return self.rng.choice(GREEDY_CALLERS)
        return f"v{self.rng.randrange(OTHER_CALLERS)}"

    def record_admission(self, caller: str) -> None:
        self.recent_admissions = self.admissions_by_caller.setdefault(caller, deque())
        self._record_admission()


def schedule(seed: int, broken: str = "", each: bool = False) -> tuple[dict[str, float], str]:
    """Runs one seed; see `fleet_world.schedule`."""
    return fleet_world.schedule(CallerWorld if each else LimitWorld, seed, broken)


def main() -> int:
    parser = fleet_world.arguments(__doc__, BREAKS)
    parser.add_argument("--each", choices=("caller",), help="the limit applies to each caller")
    options = parser.parse_args()
    result = fleet_world.run_schedules(
        CallerWorld if options.each else LimitWorld,
        options.first_seed,
        options.schedules,
        options.broken,
        options.processes,
        ("worst_of_bound",),
    )
    total, _, run_count, _ = result
    total["used_share"] /= run_count * (len(GREEDY_CALLERS) if options.each else 1)
    # A table that fits one of two greedy callers admits few of each: a third of the worlds have such a table.
    enough = total["splits"] > 3 * run_count and total["used_share"] > (0.2 if options.each else 0.3)
    fields = {"limit": LIMIT_PER_S, "burst_s": BURST_S, "each": options.each or ""}
    return fleet_world.print_report("limit_model", options.first_seed, result, enough, **fields)


if __name__ == "__main__":
    sys.exit(main())
