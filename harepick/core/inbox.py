"""The one queue into the core: bounded; who finds it full, waits."""

from __future__ import annotations

from collections import deque
from math import inf

import anyio

from harepick.core.words import Word

ROOM = 8_192


class Inbox:
    def __init__(self, room: int = ROOM) -> None:
        self._words: deque[Word] = deque()
        self._room = room
        self._some = anyio.Event()
        self._taken = anyio.Event()

    async def put(self, word: Word) -> None:
        while len(self._words) >= self._room:
            await self._taken.wait()
        self.tell(word)

    def tell(self, word: Word) -> None:
        """At once, also over the bound: for the few words that a cancelled wait must not lose."""
        self._words.append(word)
        self._some.set()

    async def drain(self, wait: float) -> list[Word]:
        """All that is there; waits for the first word for `wait` seconds at most."""
        if not self._words and wait > 0:
            self._some = anyio.Event()
            with anyio.move_on_after(None if wait == inf else wait):
                await self._some.wait()
        words = list(self._words)
        self._words.clear()
        self._taken.set()
        self._taken = anyio.Event()
        return words
