"""What waits to be written to one connection: bounded, so that a slow peer costs nobody else."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio

Item = TypeVar("Item")
ROOM = 2_048


class Outbox(Generic[Item]):
    """Items are taken in hand by the one that writes them and stay in here until they are `written`: a
    connection that ends in the middle of a write still owes what was in hand."""

    def __init__(self, room: int = ROOM) -> None:
        self._items: deque[Item] = deque()
        self._in_hand: list[Item] = []
        self._room = room
        self._some = anyio.Event()

    def put(self, item: Item) -> bool:
        """False: full, the peer does not read."""
        if len(self._items) >= self._room:
            return False
        self._items.append(item)
        self._some.set()
        return True

    async def wait(self) -> None:
        """Returns once something is there."""
        while not self._items:
            self._some = anyio.Event()
            await self._some.wait()

    def take(self) -> list[Item]:
        """Everything that waits, in hand until `written`."""
        self._in_hand = list(self._items)
        self._items.clear()
        return self._in_hand

    def written(self) -> None:
        """What was in hand has gone."""
        self._in_hand = []

    @property
    def in_flight(self) -> int:
        return len(self._in_hand)

    def clear(self) -> list[Item]:
        """All that is not known to have gone, in order; nothing is left."""
        items = [*self._in_hand, *self._items]
        self._items.clear()
        self._in_hand = []
        return items

    def any(self, what: Callable[[Item], bool]) -> bool:
        """Whether such an item waits."""
        return any(what(item) for item in self._items)

    def __len__(self) -> int:
        return len(self._items)
