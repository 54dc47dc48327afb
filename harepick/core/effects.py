"""The calls that may have taken effect at a server and must not be repeated."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

KEEP_S = 60.0  # callers try for less than that
MAX_CALLS = 16_384  # the oldest is forgotten


@dataclass(frozen=True, slots=True)
class EffectChange:
    """A call was sent and may have taken effect, or (`possible` False) is known not to have."""

    call: str
    possible: bool


class EffectJournal(Protocol):
    """Shares the changes with the other process of an upgrade. No method may block for long, or raise."""

    def append(self, change: EffectChange) -> None:
        """Adds a change, before anything is sent for the call."""

    def read_new(self) -> Iterable[EffectChange]:
        """Returns the changes since the last time, those of this process included."""


class PossibleEffects:
    """Ids of calls that may have taken effect, for `KEEP_S` after they were sent; times in seconds."""

    def __init__(self, journal: EffectJournal | None = None) -> None:
        self._calls: OrderedDict[str, float] = OrderedDict()  # id -> when, oldest first
        self._journal = journal

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: str, now: float) -> None:
        """Records that the call is sent to a server, and may take effect from now on."""
        self._apply(EffectChange(call, True), now)
        if self._journal is not None:
            self._journal.append(EffectChange(call, True))

    def remove(self, call: str, now: float) -> None:
        """Records that the call has not taken effect anywhere."""
        self._apply(EffectChange(call, False), now)
        if self._journal is not None:
            self._journal.append(EffectChange(call, False))

    def includes(self, call: str, now: float) -> bool:
        """Whether the call may have taken effect, in this process or in the other one of an upgrade."""
        if self._journal is not None:
            for change in self._journal.read_new():
                self._apply(change, now)
        self._forget(now)
        return call in self._calls

    def _apply(self, change: EffectChange, now: float) -> None:
        self._calls.pop(change.call, None)
        if change.possible:
            self._calls[change.call] = now
        self._forget(now)

    def _forget(self, now: float) -> None:
        while self._calls:
            oldest = next(iter(self._calls))
            if len(self._calls) <= MAX_CALLS and now - self._calls[oldest] <= KEEP_S:
                return
            del self._calls[oldest]
