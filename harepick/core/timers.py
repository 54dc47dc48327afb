"""Timers of the core: the module's wake-ups and the deadlines of attempts, earliest first."""

from __future__ import annotations

import heapq
from math import inf
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Timers(Generic[Item]):
    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._count = 0  # keeps timers of one moment in the order they were set

    def set(self, due: float, item: Item) -> None:
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, item))

    def next_due(self) -> float:
        return self._heap[0][0] if self._heap else inf

    def due(self, now: float) -> list[Item]:
        items = []
        while self._heap and self._heap[0][0] <= now:
            items.append(heapq.heappop(self._heap)[2])
        return items

    def __len__(self) -> int:
        return len(self._heap)
