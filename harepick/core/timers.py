"""Timers of the core: the controller's wake-ups and the deadlines of attempts, earliest first."""

from __future__ import annotations

import heapq
from math import inf
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Timers(Generic[Item]):
    """A priority queue of items by due time, in seconds on the core's clock."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._count = 0  # keeps timers that are due at the same time in the order of `set`

    def set(self, due: float, item: Item) -> None:
        """Adds an item that is due at `due`."""
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, item))

    def next_due(self) -> float:
        """When the first item is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else inf

    def due(self, now: float) -> list[Item]:
        """Removes and returns the items that are due."""
        items = []
        while self._heap and self._heap[0][0] <= now:
            items.append(heapq.heappop(self._heap)[2])
        return items

    def __len__(self) -> int:
        return len(self._heap)
