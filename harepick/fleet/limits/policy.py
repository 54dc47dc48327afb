"""The rule of shares: what each instance should hold of a limit, and the one step to propose now. Pure.

Demand decides; a reserve is split evenly, so that demand that moves is heard of where it goes. What is taken
from one goes to another only after it was settled (`shares.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import floor

from harepick.fleet.limits.shares import MAX_LIMITS, LimitAllocation, LimitCommand, ReleaseOwed, Shares, Split

ALL_CALLERS = "*"  # in place of a caller: what every caller may spend without being named
BASE_SHARE = (
    0.25  # share of a limit for each caller that is split evenly for everyone; the rest is split by name
)
MAX_NAMED = 32  # callers of one limit that hold shares by name at once
STAYS = 1.25  # times its demand for one that does already: two alike must not take turns
RESERVE = 0.1  # share of a budget that is split evenly over the live instances
WORTH = 0.04  # share of a budget: smaller changes are not worth an entry


@dataclass(frozen=True, slots=True)
class FleetState:
    """What the leader sees. `waits(index)`: who may still act on something older than that entry."""

    name: str
    revision: int
    live: frozenset[str]
    demands: Mapping[str, Mapping[str, float]]  # instance -> limit -> calls offered a second, lately
    waits: Callable[[int], list[str]]
    whole: frozenset[str] = frozenset()  # limits on calls under way: counted in whole ones
    rested: Callable[[str, int], bool] = lambda limit, index: True
    """Whether calls that began before that entry have ended by now; of a rate, always."""


def whole_targets(budget: float, live: frozenset[str], demand: Mapping[str, float]) -> dict[str, float]:
    """As `targets`, in whole ones: the largest remainders get what rounding leaves."""
    exact = targets(budget, live, demand)
    found = {name: float(floor(share)) for name, share in exact.items()}
    left = round(budget - sum(found.values()))
    for name in sorted(exact, key=lambda n: (found[n] - exact[n], n))[:left]:
        found[name] += 1.0
    return found


def targets(
    budget: float, live: frozenset[str], demand: Mapping[str, float], reserve: float = RESERVE
) -> dict[str, float]:
    """What each live instance should hold: its part of the reserve, and of the rest by demand. The sum is the
    budget, or 0 if nobody lives."""
    if not live:
        return {}
    wanted = {name: max(0.0, demand.get(name, 0.0)) for name in live}
    total = sum(wanted.values())
    even = budget / len(live)
    if total <= 0:
        return dict.fromkeys(live, even)
    return {name: reserve * even + (1 - reserve) * budget * w / total for name, w in wanted.items()}


def caller_limit_key(limit: str, caller: str) -> str:
    """What the share of one caller is kept under; no limit's own name has an `@`."""
    return f"{limit}@{caller}"


def budgets(
    limits: Mapping[str, float],
    each: frozenset[str],
    shares: Shares,
    demands: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    """What there is to be split: a limit's budget; of one that each caller has for itself (`each`) the part
    that every caller may spend anywhere, and the rest for those who ask for more, the greediest first."""
    found = {name: budget for name, budget in limits.items() if name not in each}
    found |= {caller_limit_key(name, ALL_CALLERS): BASE_SHARE * limits[name] for name in each}
    room = min(MAX_NAMED, max(0, MAX_LIMITS - len(found)) // len(each)) if each else 0
    for name in sorted(each):
        wanted: dict[str, float] = {}
        for rows in demands.values():
            for key, rate in rows.items():
                if key.startswith(f"{name}@"):
                    wanted[key] = wanted.get(key, 0.0) + rate
        first = sorted(wanted, key=lambda key: (-wanted[key] * (STAYS if key in shares else 1.0), key))
        found |= dict.fromkeys(first[:room], (1 - BASE_SHARE) * limits[name])
    return found


def steps(shares: Shares, budgets: Mapping[str, float], sight: FleetState) -> list[LimitCommand]:
    """All steps that are due, one a limit at most, so that each may be proposed on what the others leave as
    it is: what settles first, then what is furthest off. `budgets`: the limits of the configuration."""
    found: dict[str, LimitCommand] = {}
    for limit, known in shares.limits.items():
        if known.owed and not sight.waits(known.index) and sight.rested(limit, known.index):
            found[limit] = ReleaseOwed(limit, known.version, sight.name)
        elif limit not in budgets and (known.shares or (known.budget and not known.owed)):
            found[limit] = Split(limit, 0.0, {}, known.version, sight.revision, sight.name)
    splits: list[tuple[float, Split]] = []
    for limit, budget in budgets.items():
        if limit in found:
            continue
        known = shares.get(limit)
        wanted = _wanted(limit, budget, known, sight)
        changed = sum(abs(wanted.get(n, 0.0) - known.shares.get(n, 0.0)) for n in wanted | known.shares)
        off = float("inf") if budget != known.budget else changed / budget if budget else 0.0
        if off > WORTH:
            splits.append((off, Split(limit, budget, wanted, known.version, sight.revision, sight.name)))
    splits.sort(key=lambda row: -row[0])
    return [*found.values(), *(split for _, split in splits)]


def _wanted(limit: str, budget: float, known: LimitAllocation, sight: FleetState) -> dict[str, float]:
    """The shares of a limit as far as they can be now."""
    demand = {name: row.get(limit, 0.0) for name, row in sight.demands.items()}
    if limit in sight.whole:
        return _next_whole(known, budget, whole_targets(budget, sight.live, demand))
    # Of what a caller holds by name nothing is kept back: its demand shows in what all may spend.
    reserve = 0.0 if "@" in limit else RESERVE
    return _next(known, budget, targets(budget, sight.live, demand, reserve))


def _next(known: LimitAllocation, budget: float, target: Mapping[str, float]) -> dict[str, float]:
    """Shares on the way to the target: less at once, more as far as something is free."""
    found: dict[str, float] = {}
    room = budget
    wants: dict[str, float] = {}
    for name in target.keys() | known.shares.keys() | known.owed.keys():
        share, ceiling = target.get(name, 0.0), known.ceiling(name)
        found[name] = min(share, ceiling)  # up to its ceiling it may have back what was taken from it
        wants[name] = share - found[name]
        room -= ceiling
    total = sum(wants.values())
    if total > 0 and room > 0:
        part = min(1.0, room / total)
        for name, want in wants.items():
            found[name] += want * part
    return {name: share for name, share in found.items() if share > 0}


def _next_whole(known: LimitAllocation, budget: float, target: Mapping[str, float]) -> dict[str, float]:
    """As `_next`, in whole ones: what is free goes one by one to whoever lacks most."""
    found: dict[str, float] = {}
    room = budget
    for name in target.keys() | known.shares.keys() | known.owed.keys():
        found[name] = min(target.get(name, 0.0), known.ceiling(name))
        room -= known.ceiling(name)
    while room >= 1.0:
        name = max(sorted(found), key=lambda n: target.get(n, 0.0) - found[n], default="")
        if not name or target.get(name, 0.0) - found[name] < 1.0:
            break
        found[name] += 1.0
        room -= 1.0
    return {name: share for name, share in found.items() if share > 0}
