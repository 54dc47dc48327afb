"""Counters of requests, attempts and answers; printed on a signal and at exit.

The counts by call class (`lanes`) are exposed by the `ops` listener as `downstream_requests_total`. Each is
counted where the final answer is passed to the caller's connection, not derived afterwards.
"""

from __future__ import annotations

from collections import Counter

# The call was answered; it was released and may be retried; it was released for any other reason.
RESULTS = ("completed", "rejected", "failed")
MAX_LANES = 256  # call classes counted apart; classes come from the settings and are far fewer


class Counters:
    """All counters of the program."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._lanes: dict[str, dict[str, int]] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Adds to the counter `name`, which starts at 0."""
        self._counts[name] += amount

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def answered(self, lane: str, result: str) -> None:
        """Counts a final answer to a call of class `lane`; `result` is one of `RESULTS`."""
        by_result = self._lanes.get(lane)
        if by_result is None:
            if len(self._lanes) >= MAX_LANES:
                lane = "other"
            by_result = self._lanes.setdefault(lane, dict.fromkeys(RESULTS, 0))
        by_result[result] += 1

    def lanes(self) -> dict[str, dict[str, int]]:
        """Class -> result -> final answers since the start; a class once counted stays."""
        return {lane: dict(by_result) for lane, by_result in self._lanes.items()}

    def snapshot(self) -> dict[str, int]:
        """All counters by name, sorted; those by class are named `lanes.<class>.<result>`."""
        counts = dict(self._counts)
        for lane, by_result in self._lanes.items():
            for result, count in by_result.items():
                counts[f"lanes.{lane}.{result}"] = count
        return dict(sorted(counts.items()))
