"""Which numbers are called most, and how many of their calls come to nothing: one instance's view. Pure.

Bounded whatever numbers come: a table of the heaviest (Space-Saving; Metwally, Agrawal, El Abbadi, 2005) in
which weights fade by time (forward decay; Cormode and others, 2009). A number that is in the table is never
rated lower than it is; `error` is by how much it may be rated higher, so that a flood of numbers that are
called once each makes none look heavy.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import exp

MAX_NUMBERS = 256
MAX_TOLD = 8  # numbers that one instance tells of
MEMORY = 2.0  # seconds over which a rate is averaged
AHEAD = 30.0  # times `MEMORY` after which weights are counted from a later moment, before they grow too large


@dataclass(slots=True)
class _Row:
    """Weights of a number, as seen from the detector's `_since`."""

    offered: float
    bad: float  # of these, calls that were refused or failed
    error: float  # of `offered`, what may be another's


class Detector:
    """Owns the table."""

    def __init__(self, most: int = MAX_NUMBERS) -> None:
        self._most = most
        self._rows: dict[str, _Row] = {}
        self._heap: list[tuple[float, str]] = []  # a weight that was true once, and its number
        self._since = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def _weight(self, now: float) -> float:
        """What a call at `now` counts: the later, the more, in place of fading all that came before."""
        if now - self._since > AHEAD * MEMORY:
            fade = exp(-(now - self._since) / MEMORY)
            for row in self._rows.values():
                row.offered, row.bad, row.error = row.offered * fade, row.bad * fade, row.error * fade
            self._since = now
            self._heap = [(row.offered, number) for number, row in self._rows.items()]
            heapq.heapify(self._heap)
        return exp((now - self._since) / MEMORY)

    def offered(self, number: str, now: float) -> None:
        """A call to that number, whatever becomes of it."""
        weight = self._weight(now)
        row = self._rows.get(number)
        if row is not None:
            row.offered += weight
            return
        least = self._make_room() if len(self._rows) >= self._most else 0.0
        self._rows[number] = _Row(least + weight, 0.0, least)
        heapq.heappush(self._heap, (least + weight, number))

    def _make_room(self) -> float:
        """Drops the lightest number; its weight."""
        while True:
            weight, number = heapq.heappop(self._heap)
            row = self._rows[number]
            if row.offered <= weight:
                del self._rows[number]
                return row.offered
            heapq.heappush(self._heap, (row.offered, number))  # it has grown meanwhile

    def ended(self, number: str, good: bool, now: float) -> None:
        """What a call to that number came to."""
        if not good and (row := self._rows.get(number)):
            row.bad += self._weight(now)

    def rate(self, number: str, now: float) -> tuple[float, float]:
        """Calls a second lately, for certain; and of these, ones that came to nothing."""
        row = self._rows.get(number)
        if row is None:
            return 0.0, 0.0
        scale = self._weight(now) * MEMORY  # first: it may count weights anew
        return max(0.0, row.offered - row.error) / scale, row.bad / scale

    def heaviest(self, now: float, least: float) -> dict[str, tuple[float, float]]:
        """Numbers called at least so often a second, the heaviest first, each with its two rates."""
        self._weight(now)
        found = {number: self.rate(number, now) for number in self._rows}
        heavy = [number for number, (offered, _) in found.items() if offered >= least]
        return {number: found[number] for number in heapq.nlargest(MAX_TOLD, heavy, key=found.__getitem__)}
