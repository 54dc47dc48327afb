"""A bounded queue of what is to be written to one connection, so that a slow peer affects only itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf
from typing import Generic, TypeVar

import anyio

Item = TypeVar("Item")
DEFAULT_CAPACITY = 2_048  # items


def _no_size(item: object) -> int:
    return 0


class Outbox(Generic[Item]):
    """A bounded write queue.

    The writer takes items out with `take` and confirms them with `written`. Until then they are in flight
    and still belong to the outbox: they are not lost if the connection ends in the middle of a write.

    At most `capacity` items are queued, and with `size_of`, which returns the bytes of an item, no more once
    `max_bytes` are; as much again may be in flight."""

    def __init__(
        self,
        capacity: int = DEFAULT_CAPACITY,
        max_bytes: float = inf,
        size_of: Callable[[Item], int] = _no_size,
    ) -> None:
        self._items: deque[Item] = deque()
        self._in_flight: list[Item] = []
        self._capacity = capacity
        self._max_bytes = max_bytes
        self._size_of = size_of
        self._bytes = 0  # of the queued items
        self._not_empty = anyio.Event()

    def put(self, item: Item) -> bool:
        """Appends an item; returns False if the outbox is full, that is, if the peer does not read."""
        if len(self._items) >= self._capacity or self._bytes >= self._max_bytes:
            return False
        self._items.append(item)
        self._bytes += self._size_of(item)
        self._not_empty.set()
        return True

    async def wait(self) -> None:
        """Returns once an item is queued."""
        while not self._items:
            self._not_empty = anyio.Event()
            await self._not_empty.wait()

    def take(self) -> list[Item]:
        """Returns all queued items; they stay in flight until `written`."""
        self._in_flight = list(self._items)
        self._items.clear()
        self._bytes = 0
        return self._in_flight

    def written(self) -> None:
        """Confirms that the items in flight were written."""
        self._in_flight = []

    @property
    def in_flight(self) -> int:
        """Number of items taken and not yet confirmed."""
        return len(self._in_flight)

    def clear(self) -> list[Item]:
        """Empties the outbox; returns all items not confirmed as written, in order."""
        items = [*self._in_flight, *self._items]
        self._items.clear()
        self._bytes = 0
        self._in_flight = []
        return items

    def any(self, predicate: Callable[[Item], bool]) -> bool:
        """Returns whether any queued item satisfies the predicate."""
        return any(predicate(item) for item in self._items)

    def __len__(self) -> int:
        return len(self._items)
