"""The allocation of each limit to instances: replicated, pure, and the only place where budgets are enforced.

Each instance has a ceiling: its share, plus what was taken from it but it may still spend (`owed`). The
ceilings of a limit never add up to more than its budget, whatever is proposed.
"""

from __future__ import annotations

from msgspec import Struct, field

MAX_LIMITS = 256
MAX_HOLDERS = 64
ROUNDING_MARGIN = 1e-9  # part of a budget by which rounding errors may exceed it


class Split(Struct, frozen=True, tag="split"):
    """Sets the shares of a limit; an instance that is not named has none.

    Refused unless `expect` is the version of the limit and `revision` that of the configuration.
    """

    limit: str
    budget: float  # calls per second, or concurrent calls
    shares: dict[str, float]  # by instance
    expect: int
    revision: int
    by: str = ""


class ReleaseOwed(Struct, frozen=True, tag="settle"):
    """Frees the owed shares of a limit: no instance can spend them any more."""

    limit: str
    expect: int
    by: str = ""


LimitCommand = Split | ReleaseOwed


class LimitAllocation(Struct):
    """The allocation of one limit to instances."""

    budget: float = 0.0
    shares: dict[str, float] = field(default_factory=dict)
    owed: dict[str, float] = field(default_factory=dict)
    index: int = 0  # log index of the last entry that reduced a share
    version: int = 0

    def ceiling(self, instance: str) -> float:
        """The most that an instance may spend: its share, and what it may not know to have lost."""
        return self.shares.get(instance, 0.0) + self.owed.get(instance, 0.0)

    @property
    def free(self) -> float:
        """The part of the budget that no instance may spend."""
        return max(0.0, self.budget - sum(self.shares.values()) - sum(self.owed.values()))


class SharesState(Struct):
    """The allocations as written to a snapshot."""

    version: int = 0
    limits: dict[str, LimitAllocation] = field(default_factory=dict)


class RefusedSplitError(ValueError):
    """A command was refused and changed nothing; the text is the reason."""


class Shares:
    """The allocations of all limits; only `apply` changes them."""

    def __init__(self, state: SharesState | None = None) -> None:
        state = state or SharesState()
        self.version = state.version
        self._limits = dict(state.limits)

    def dump(self) -> SharesState:
        """The state for a snapshot."""
        return SharesState(self.version, dict(self._limits))

    def __contains__(self, limit: str) -> bool:
        return limit in self._limits

    def get(self, limit: str) -> LimitAllocation:
        """The allocation of a limit; an empty one if no instance holds a share of it."""
        return self._limits.get(limit) or LimitAllocation()

    @property
    def limits(self) -> dict[str, LimitAllocation]:
        """A copy of the allocations, by key."""
        return dict(self._limits)

    def share(self, limit: str, instance: str) -> float:
        """An instance's share of a limit, 0 if it has none."""
        allocation = self._limits.get(limit)
        return allocation.shares.get(instance, 0.0) if allocation else 0.0

    def apply(self, index: int, command: LimitCommand) -> None:
        """Applies the command of log entry `index`. Raises `RefusedSplitError`, changing nothing."""
        allocation = self.get(command.limit)
        if command.expect != allocation.version:
            raise RefusedSplitError(
                f"decided on version {command.expect} of limit {command.limit}, "
                f"and it is {allocation.version}"
            )
        if isinstance(command, ReleaseOwed):
            self._put(command.limit, allocation.budget, allocation.shares, {}, allocation.index)
        else:
            self._split(index, allocation, command)

    def _split(self, index: int, allocation: LimitAllocation, split: Split) -> None:
        if split.limit not in self._limits and len(self._limits) >= MAX_LIMITS:
            raise RefusedSplitError(f"{MAX_LIMITS} limits are shared at most")
        if len(split.shares) > MAX_HOLDERS or any(
            not 0 <= value < float("inf") for value in split.shares.values()
        ):
            raise RefusedSplitError("shares that make no sense")
        instances = allocation.shares.keys() | allocation.owed.keys() | split.shares.keys()
        owed: dict[str, float] = {}
        total = growth = 0.0
        reduced = False
        for instance in instances:
            share, previous_ceiling = split.shares.get(instance, 0.0), allocation.ceiling(instance)
            ceiling = max(share, previous_ceiling)  # the instance may not know of the reduction yet
            reduced = reduced or share < allocation.shares.get(instance, 0.0)
            growth += ceiling - previous_ceiling
            total += ceiling
            if ceiling > share:
                owed[instance] = ceiling - share
        if growth > 0 and total > split.budget * (1 + ROUNDING_MARGIN):
            raise RefusedSplitError(
                f"limit {split.limit}: {total:g} could be spent a second, and {split.budget:g} may be"
            )
        shares = {instance: share for instance, share in split.shares.items() if share > 0}
        self._put(split.limit, split.budget, shares, owed, index if reduced else allocation.index)

    def _put(
        self, limit: str, budget: float, shares: dict[str, float], owed: dict[str, float], index: int
    ) -> None:
        self.version += 1
        version = self.get(limit).version + 1
        if budget == 0.0 and not shares and not owed:
            self._limits.pop(limit, None)  # the limit was removed; if it is set again, it starts at version 0
        else:
            self._limits[limit] = LimitAllocation(budget, dict(shares), dict(owed), index, version)
