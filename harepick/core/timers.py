"""Timers of the core: the controller's wake-ups and the deadlines of calls and attempts, earliest first."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf
from typing import Generic, TypeVar

Item = TypeVar("Item")
MIN_CANCELLED_TO_COMPACT = 256  # cancelled timers below this number stay until they are due


@dataclass(slots=True, eq=False)
class Timer(Generic[Item]):
    """One timer; it lets go of its item when it is due or cancelled."""

    item: Item | None


class Timers(Generic[Item]):
    """A priority queue of items by due time, in seconds on the core's clock.

    Most timers are cancelled long before they are due. A cancelled one keeps no item, and the queue is
    rebuilt when more than half of it is cancelled."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer[Item]]] = []
        self._count = 0  # keeps timers that are due at the same time in the order of `set`
        self._cancelled = 0  # cancelled timers in the heap

    def set(self, due: float, item: Item) -> Timer[Item]:
        """Adds an item that is due at `due`."""
        self._count += 1
        timer = Timer(item)
        heapq.heappush(self._heap, (due, self._count, timer))
        return timer

    def cancel(self, timer: Timer[Item] | None) -> None:
        """Removes a timer; does nothing for one that was due or cancelled before, or for None."""
        if timer is None or timer.item is None:
            return
        timer.item = None
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].item is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_due(self) -> float:
        """When the first item is due; infinity if there is none."""
        while self._heap and self._heap[0][2].item is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else inf

    def due(self, now: float) -> list[Item]:
        """Removes and returns the items that are due."""
        items = []
        while self.next_due() <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.item is not None:
                items.append(timer.item)
            timer.item = None
        return items

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled
