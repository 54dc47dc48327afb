"""The rule of shares: what each instance should hold of a limit, and the one step to propose now. Pure.

Demand decides; a reserve is split evenly, so that demand that moves is heard of where it goes. What is taken
from one goes to another only after it was settled (`shares.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import floor

from harepick.fleet.limits.shares import Holding, LimitCommand, Settle, Shares, Split

RESERVE = 0.1  # share of a budget that is split evenly over the live instances
WORTH = 0.04  # share of a budget: smaller changes are not worth an entry


@dataclass(frozen=True, slots=True)
class Sight:
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


def targets(budget: float, live: frozenset[str], demand: Mapping[str, float]) -> dict[str, float]:
    """What each live instance should hold: its part of the reserve, and of the rest by demand. The sum is the
    budget, or 0 if nobody lives."""
    if not live:
        return {}
    wanted = {name: max(0.0, demand.get(name, 0.0)) for name in live}
    total = sum(wanted.values())
    even = budget / len(live)
    if total <= 0:
        return dict.fromkeys(live, even)
    return {name: RESERVE * even + (1 - RESERVE) * budget * w / total for name, w in wanted.items()}


def decide(shares: Shares, budgets: Mapping[str, float], sight: Sight) -> LimitCommand | None:
    """The one step that is due; None: nothing is. `budgets`: the limits of the configuration."""
    for limit, known in shares.limits.items():
        if known.owed and not sight.waits(known.index) and sight.rested(limit, known.index):
            return Settle(limit, known.version, sight.name)
        if limit not in budgets and known.shares:
            return Split(limit, 0.0, {}, known.version, sight.revision, sight.name)
        if limit not in budgets and known.budget and not known.owed:
            return Split(limit, 0.0, {}, known.version, sight.revision, sight.name)
    for limit, budget in budgets.items():
        known = shares.get(limit)
        demand = {name: row.get(limit, 0.0) for name, row in sight.demands.items()}
        if limit in sight.whole:
            wanted = _next_whole(known, budget, whole_targets(budget, sight.live, demand))
        else:
            wanted = _next(known, budget, targets(budget, sight.live, demand))
        changed = sum(abs(wanted.get(n, 0.0) - known.shares.get(n, 0.0)) for n in wanted | known.shares)
        if budget != known.budget or changed > budget * WORTH:
            return Split(limit, budget, wanted, known.version, sight.revision, sight.name)
    return None


def _next(known: Holding, budget: float, target: Mapping[str, float]) -> dict[str, float]:
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


def _next_whole(known: Holding, budget: float, target: Mapping[str, float]) -> dict[str, float]:
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
