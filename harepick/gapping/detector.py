"""Detects the most called numbers and how many of their calls fail, as one instance sees them. Pure.

Memory is bounded whatever numbers are called. The table keeps the heaviest numbers (Space-Saving; Metwally,
Agrawal, El Abbadi, 2005) with weights that decay over time (forward decay; Cormode et al., 2009). The table
never underestimates a number that it holds. `error` bounds the overestimate and is subtracted, so that calls
to many different numbers make none of them look heavy.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import exp

MAX_NUMBERS = 256
MAX_REPORTED_NUMBERS = 8  # per instance
AVERAGING_TIME_S = 2.0  # time constant of the rates
RESCALE_AFTER = 30.0  # averaging times after which weights get a new reference time, before they overflow


@dataclass(slots=True)
class _Counter:
    """Weights of a number, relative to the detector's reference time."""

    offered: float
    failed: float  # part of `offered`: refused and failed calls
    error: float  # part of `offered` that may belong to numbers dropped before


class Detector:
    """A bounded table of the most called numbers; times are in seconds, on any monotonic clock."""

    def __init__(self, capacity: int = MAX_NUMBERS) -> None:
        self._capacity = capacity
        self._counters: dict[str, _Counter] = {}
        self._heap: list[tuple[float, str]] = []  # (lower bound of the offered weight, number)
        self._reference_time = 0.0

    def __len__(self) -> int:
        return len(self._counters)

    def _weight(self, now: float) -> float:
        """Weight of a call at `now`: later calls weigh more, in place of a decay of all earlier ones.

        Moves the reference time forward when it is too far back.
        """
        if now - self._reference_time > RESCALE_AFTER * AVERAGING_TIME_S:
            decay = exp(-(now - self._reference_time) / AVERAGING_TIME_S)
            for counter in self._counters.values():
                counter.offered, counter.failed, counter.error = (
                    counter.offered * decay,
                    counter.failed * decay,
                    counter.error * decay,
                )
            self._reference_time = now
            self._heap = [(counter.offered, number) for number, counter in self._counters.items()]
            heapq.heapify(self._heap)
        return exp((now - self._reference_time) / AVERAGING_TIME_S)

    def count_offered(self, number: str, now: float) -> None:
        """Counts a call to that number, whatever its outcome will be."""
        weight = self._weight(now)
        counter = self._counters.get(number)
        if counter is not None:
            counter.offered += weight
            return
        inherited = self._drop_lightest() if len(self._counters) >= self._capacity else 0.0
        self._counters[number] = _Counter(inherited + weight, 0.0, inherited)
        heapq.heappush(self._heap, (inherited + weight, number))

    def _drop_lightest(self) -> float:
        """Drops the number with the smallest weight; returns that weight."""
        while True:
            weight, number = heapq.heappop(self._heap)
            counter = self._counters[number]
            if counter.offered <= weight:
                del self._counters[number]
                return counter.offered
            heapq.heappush(self._heap, (counter.offered, number))  # its weight has grown since

    def count_ended(self, number: str, succeeded: bool, now: float) -> None:
        """Counts the outcome of a call to that number."""
        if not succeeded and (counter := self._counters.get(number)):
            counter.failed += self._weight(now)

    def rate(self, number: str, now: float) -> tuple[float, float]:
        """Calls per second, a lower bound, and failed calls per second; 0 for a number not in the table."""
        counter = self._counters.get(number)
        if counter is None:
            return 0.0, 0.0
        scale = self._weight(now) * AVERAGING_TIME_S  # before the counter is read: it may rescale weights
        return max(0.0, counter.offered - counter.error) / scale, counter.failed / scale

    def heaviest(self, now: float, min_rate: float) -> dict[str, tuple[float, float]]:
        """The rates of the most called numbers with at least `min_rate` calls per second, heaviest first."""
        self._weight(now)
        rates = {number: self.rate(number, now) for number in self._counters}
        heavy = [number for number, (offered, _) in rates.items() if offered >= min_rate]
        return {
            number: rates[number]
            for number in heapq.nlargest(MAX_REPORTED_NUMBERS, heavy, key=rates.__getitem__)
        }
