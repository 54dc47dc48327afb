"""The rule of shares: what each instance should hold of a limit, and the one step to propose now. Pure.

Demand decides; a reserve is split evenly, so that demand that moves is heard of where it goes. What is taken
from one goes to another only after it was settled (`shares.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

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
        if known.owed and not sight.waits(known.index):
            return Settle(limit, known.version, sight.name)
        if limit not in budgets and known.shares:
            return Split(limit, 0.0, {}, known.version, sight.revision, sight.name)
        if limit not in budgets and known.budget and not known.owed:
            return Split(limit, 0.0, {}, known.version, sight.revision, sight.name)
    for limit, budget in budgets.items():
        known = shares.get(limit)
        demand = {name: row.get(limit, 0.0) for name, row in sight.demands.items()}
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
