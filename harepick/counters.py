"""Counters of what the program takes in, sends and answers; printed on a signal and at exit.

The figures by class (`lanes`) are those that the `ops` listener exposes as `downstream_requests_total`: each
is counted where the final answer is handed to the caller's connection, not derived afterwards.
"""

from __future__ import annotations

from collections import Counter

RESULTS = ("completed", "rejected", "failed")  # an answer; a release that invites a retry; any other release
MAX_LANES = 256  # classes kept apart; they come from the configuration, so this is not reached in service


class Counters:
    """Owns every figure that the program tells of itself."""

    def __init__(self) -> None:
        self._figures: Counter[str] = Counter()
        self._lanes: dict[str, dict[str, int]] = {}

    def add(self, name: str, amount: int = 1) -> None:
        self._figures[name] += amount

    def __getitem__(self, name: str) -> int:
        return self._figures[name]

    def answered(self, lane: str, result: str) -> None:
        """A final answer of `result` (one of `RESULTS`) to a request of class `lane`."""
        row = self._lanes.get(lane)
        if row is None:
            if len(self._lanes) >= MAX_LANES:
                lane = "other"
            row = self._lanes.setdefault(lane, dict.fromkeys(RESULTS, 0))
        row[result] += 1

    def lanes(self) -> dict[str, dict[str, int]]:
        """Class -> result -> final answers since the start; a class once seen stays."""
        return {lane: dict(row) for lane, row in self._lanes.items()}

    def snapshot(self) -> dict[str, int]:
        figures = dict(self._figures)
        for lane, row in self._lanes.items():
            for result, count in row.items():
                figures[f"lanes.{lane}.{result}"] = count
        return dict(sorted(figures.items()))
