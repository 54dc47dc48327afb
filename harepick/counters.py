"""Counters of what the program takes in, sends and answers; printed on a signal and at exit."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Owns every figure that the program tells of itself."""

    def __init__(self) -> None:
        self._figures: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self._figures[name] += amount

    def __getitem__(self, name: str) -> int:
        return self._figures[name]

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self._figures.items()))
