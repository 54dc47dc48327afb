"""What waits to be written to one connection: bounded, so that a slow peer costs nobody else."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio

Item = TypeVar("Item")
ROOM = 2_048


class Outbox(Generic[Item]):
    def __init__(self, room: int = ROOM) -> None:
        self._items: deque[Item] = deque()
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

    def clear(self) -> list[Item]:
        items = list(self._items)
        self._items.clear()
        return items

    def drop(self, what: Callable[[Item], bool]) -> None:
        self._items = deque(item for item in self._items if not what(item))

    def __len__(self) -> int:
        return len(self._items)
