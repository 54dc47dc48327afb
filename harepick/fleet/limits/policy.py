"""The allocation policy: each instance's share of a limit, and the commands to propose now. Pure.

Shares are in proportion to demand. A reserve is split evenly, so that every instance can admit some calls and
report demand that moves to it. What is taken from one instance is given to another only after its release
(`shares.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import floor

from harepick.fleet.limits.shares import MAX_LIMITS, LimitAllocation, LimitCommand, ReleaseOwed, Shares, Split

ALL_CALLERS = "*"  # in place of a caller's address: the base share that applies to every caller
# Part of a per-caller limit that every caller gets on all instances together; the rest is allocated to the
# callers with the highest demand, as named shares.
BASE_SHARE = 0.25
MAX_NAMED = 32  # callers of one limit that may hold named shares at once
# Factor on the demand of callers that hold a named share, so that callers of similar demand do not alternate.
HOLDER_PREFERENCE = 1.25
RESERVE = 0.1  # part of a budget that is split evenly over the live instances
MIN_CHANGE = 0.04  # part of a budget; smaller changes do not justify a log entry


@dataclass(frozen=True, slots=True)
class LimitFleetState:
    """The leader's view of the fleet.

    `unconfirmed_by(index)`: instances that may still act on a state older than that log entry.
    """

    name: str  # the leader
    revision: int  # of the configuration
    live: frozenset[str]  # members that may hold a lease and still take calls
    demands: Mapping[str, Mapping[str, float]]  # instance -> limit -> offered calls per second
    unconfirmed_by: Callable[[int], list[str]]
    concurrency_limits: frozenset[str] = frozenset()  # their shares are whole numbers
    calls_ended: Callable[[str, int], bool] = lambda limit, index: True
    """Whether a limit's calls that began before log entry `index` have ended; always true for a rate."""


def whole_targets(budget: float, live: frozenset[str], demand: Mapping[str, float]) -> dict[str, float]:
    """As `targets` in whole numbers, by the largest remainder method."""
    exact = targets(budget, live, demand)
    whole_shares = {name: float(floor(share)) for name, share in exact.items()}
    remainder = round(budget - sum(whole_shares.values()))
    for name in sorted(exact, key=lambda n: (whole_shares[n] - exact[n], n))[:remainder]:
        whole_shares[name] += 1.0
    return whole_shares


def targets(
    budget: float, live: frozenset[str], demand: Mapping[str, float], reserve: float = RESERVE
) -> dict[str, float]:
    """Target share of each live instance: an equal part of the reserve, and the rest by demand.

    The shares add up to the budget; empty if no instance is live.
    """
    if not live:
        return {}
    positive_demand = {name: max(0.0, demand.get(name, 0.0)) for name in live}
    total = sum(positive_demand.values())
    equal_part = budget / len(live)
    if total <= 0:
        return dict.fromkeys(live, equal_part)
    return {
        name: reserve * equal_part + (1 - reserve) * budget * instance_demand / total
        for name, instance_demand in positive_demand.items()
    }


def caller_limit_key(limit: str, caller: str) -> str:
    """Key of a caller's named share; limit ids cannot contain an `@`."""
    return f"{limit}@{caller}"


def budgets(
    limits: Mapping[str, float],
    per_caller_limits: frozenset[str],
    shares: Shares,
    demands: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    """The budgets to be split, by key, in calls per second or concurrent calls.

    A limit of `per_caller_limits` applies to each caller. It yields the base share of all callers, and the
    rest of the limit for each of the callers with the highest demand.
    """
    split_budgets = {name: budget for name, budget in limits.items() if name not in per_caller_limits}
    split_budgets |= {
        caller_limit_key(name, ALL_CALLERS): BASE_SHARE * limits[name] for name in per_caller_limits
    }
    max_named = (
        min(MAX_NAMED, max(0, MAX_LIMITS - len(split_budgets)) // len(per_caller_limits))
        if per_caller_limits
        else 0
    )
    for name in sorted(per_caller_limits):
        demand_by_key: dict[str, float] = {}
        for rows in demands.values():
            for key, rate in rows.items():
                if key.startswith(f"{name}@"):
                    demand_by_key[key] = demand_by_key.get(key, 0.0) + rate
        by_demand = sorted(
            demand_by_key,
            key=lambda key: (-demand_by_key[key] * (HOLDER_PREFERENCE if key in shares else 1.0), key),
        )
        split_budgets |= dict.fromkeys(by_demand[:max_named], (1 - BASE_SHARE) * limits[name])
    return split_budgets


def steps(shares: Shares, budgets: Mapping[str, float], fleet_state: LimitFleetState) -> list[LimitCommand]:
    """All commands that are due, at most one per limit, so that they do not affect each other.

    Releases, and splits that clear a removed limit, come first; then the other splits, the largest deviation
    first. `budgets`: the configured budgets by key.
    """
    due: dict[str, LimitCommand] = {}
    for limit, allocation in shares.limits.items():
        if (
            allocation.owed
            and not fleet_state.unconfirmed_by(allocation.index)
            and fleet_state.calls_ended(limit, allocation.index)
        ):
            due[limit] = ReleaseOwed(limit, allocation.version, fleet_state.name)
        elif limit not in budgets and (allocation.shares or (allocation.budget and not allocation.owed)):
            due[limit] = Split(limit, 0.0, {}, allocation.version, fleet_state.revision, fleet_state.name)
    splits: list[tuple[float, Split]] = []
    for limit, budget in budgets.items():
        if limit in due:
            continue
        allocation = shares.get(limit)
        shares_by_instance = _next_shares(limit, budget, allocation, fleet_state)
        changed = sum(
            abs(shares_by_instance.get(n, 0.0) - allocation.shares.get(n, 0.0))
            for n in shares_by_instance | allocation.shares
        )
        deviation = float("inf") if budget != allocation.budget else changed / budget if budget else 0.0
        if deviation > MIN_CHANGE:
            splits.append(
                (
                    deviation,
                    Split(
                        limit,
                        budget,
                        shares_by_instance,
                        allocation.version,
                        fleet_state.revision,
                        fleet_state.name,
                    ),
                )
            )
    splits.sort(key=lambda row: -row[0])
    return [*due.values(), *(split for _, split in splits)]


def _next_shares(
    limit: str, budget: float, allocation: LimitAllocation, fleet_state: LimitFleetState
) -> dict[str, float]:
    """The shares of a limit that may be allocated now."""
    demand = {name: row.get(limit, 0.0) for name, row in fleet_state.demands.items()}
    if limit in fleet_state.concurrency_limits:
        return _next_whole_shares(allocation, budget, whole_targets(budget, fleet_state.live, demand))
    # A named share needs no reserve: through the base share, every instance can admit calls of the caller and
    # report their demand.
    reserve = 0.0 if "@" in limit else RESERVE
    return _next_rate_shares(allocation, budget, targets(budget, fleet_state.live, demand, reserve))


def _next_rate_shares(
    allocation: LimitAllocation, budget: float, target: Mapping[str, float]
) -> dict[str, float]:
    """Shares on the way to the target: reductions at once, increases as far as budget is free."""
    shares: dict[str, float] = {}
    free = budget
    missing: dict[str, float] = {}
    for name in target.keys() | allocation.shares.keys() | allocation.owed.keys():
        share, ceiling = target.get(name, 0.0), allocation.ceiling(name)
        shares[name] = min(share, ceiling)  # it may spend up to its ceiling anyway
        missing[name] = share - shares[name]
        free -= ceiling
    total = sum(missing.values())
    if total > 0 and free > 0:
        granted_part = min(1.0, free / total)
        for name, share_missing in missing.items():
            shares[name] += share_missing * granted_part
    return {name: share for name, share in shares.items() if share > 0}


def _next_whole_shares(
    allocation: LimitAllocation, budget: float, target: Mapping[str, float]
) -> dict[str, float]:
    """As `_next_rate_shares` in whole numbers: free units go one by one to the largest deficit."""
    shares: dict[str, float] = {}
    free = budget
    for name in target.keys() | allocation.shares.keys() | allocation.owed.keys():
        shares[name] = min(target.get(name, 0.0), allocation.ceiling(name))
        free -= allocation.ceiling(name)
    while free >= 1.0:
        name = max(sorted(shares), key=lambda n: target.get(n, 0.0) - shares[n], default="")
        if not name or target.get(name, 0.0) - shares[name] < 1.0:
            break
        shares[name] += 1.0
        free -= 1.0
    return {name: share for name, share in shares.items() if share > 0}
