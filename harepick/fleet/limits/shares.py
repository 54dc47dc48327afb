"""Who holds how much of each limit: replicated, pure, and the one place where the budget is kept.

For each instance a ceiling is counted: its share, and what was taken from it that it may still spend
(`owed`). The ceilings of a limit never sum to more than its budget, whatever is proposed.
"""

from __future__ import annotations

from msgspec import Struct, field

MAX_LIMITS = 256
MAX_HOLDERS = 64
GRAIN = 1e-9  # of a budget: what rounding may add up to


class Split(Struct, frozen=True, tag="split"):
    """The shares of a limit from now on; who is not named holds nothing. Guarded by the limit's version and
    the revision of the configuration that the budget is from."""

    limit: str
    budget: float  # a second
    shares: dict[str, float]
    expect: int
    revision: int
    by: str = ""


class ReleaseOwed(Struct, frozen=True, tag="settle"):
    """What was taken away up to entry `index` can't be spent any more: it is free."""

    limit: str
    expect: int
    by: str = ""


LimitCommand = Split | ReleaseOwed


class LimitAllocation(Struct):
    """One limit."""

    budget: float = 0.0
    shares: dict[str, float] = field(default_factory=dict)
    owed: dict[str, float] = field(default_factory=dict)
    index: int = 0  # the entry that took away last
    version: int = 0

    def ceiling(self, instance: str) -> float:
        return self.shares.get(instance, 0.0) + self.owed.get(instance, 0.0)

    @property
    def free(self) -> float:
        """What nobody may spend."""
        return max(0.0, self.budget - sum(self.shares.values()) - sum(self.owed.values()))


class SharesState(Struct):
    """All that a snapshot holds."""

    version: int = 0
    limits: dict[str, LimitAllocation] = field(default_factory=dict)


class RefusedSplitError(ValueError):
    """A command that changes nothing; the text says why."""


class Shares:
    """Owns the shares of all limits; `apply` is the one way to change them."""

    def __init__(self, state: SharesState | None = None) -> None:
        state = state or SharesState()
        self.version = state.version
        self._limits = dict(state.limits)

    def dump(self) -> SharesState:
        return SharesState(self.version, dict(self._limits))

    def __contains__(self, limit: str) -> bool:
        return limit in self._limits

    def get(self, limit: str) -> LimitAllocation:
        """A copy of none if nobody holds anything of it: then all of it is free."""
        return self._limits.get(limit) or LimitAllocation()

    @property
    def limits(self) -> dict[str, LimitAllocation]:
        return dict(self._limits)

    def share(self, limit: str, instance: str) -> float:
        known = self._limits.get(limit)
        return known.shares.get(instance, 0.0) if known else 0.0

    def apply(self, index: int, command: LimitCommand) -> None:
        """Raises `RefusedSplitError`, changing nothing."""
        known = self.get(command.limit)
        if command.expect != known.version:
            raise RefusedSplitError(
                f"decided on version {command.expect} of limit {command.limit}, and it is {known.version}"
            )
        if isinstance(command, ReleaseOwed):
            self._put(command.limit, known.budget, known.shares, {}, known.index)
        else:
            self._split(index, known, command)

    def _split(self, index: int, known: LimitAllocation, split: Split) -> None:
        if split.limit not in self._limits and len(self._limits) >= MAX_LIMITS:
            raise RefusedSplitError(f"{MAX_LIMITS} limits are shared at most")
        if len(split.shares) > MAX_HOLDERS or any(not 0 <= s < float("inf") for s in split.shares.values()):
            raise RefusedSplitError("shares that make no sense")
        names = known.shares.keys() | known.owed.keys() | split.shares.keys()
        owed: dict[str, float] = {}
        total = grown = 0.0
        taken = False
        for name in names:
            share, before = split.shares.get(name, 0.0), known.ceiling(name)
            ceiling = max(share, before)  # it may not know yet that it has less
            taken = taken or share < known.shares.get(name, 0.0)
            grown += ceiling - before
            total += ceiling
            if ceiling > share:
                owed[name] = ceiling - share
        if grown > 0 and total > split.budget * (1 + GRAIN):
            raise RefusedSplitError(
                f"limit {split.limit}: {total:g} could be spent a second, and {split.budget:g} may be"
            )
        shares = {name: share for name, share in split.shares.items() if share > 0}
        self._put(split.limit, split.budget, shares, owed, index if taken else known.index)

    def _put(
        self, limit: str, budget: float, shares: dict[str, float], owed: dict[str, float], index: int
    ) -> None:
        self.version += 1
        version = self.get(limit).version + 1
        if budget == 0.0 and not shares and not owed:
            self._limits.pop(limit, None)  # a limit that is lifted; its next life begins at version 0
        else:
            self._limits[limit] = LimitAllocation(budget, dict(shares), dict(owed), index, version)
