"""The one queue into the core: bounded; who finds it full, waits."""

from __future__ import annotations

from collections import deque
from math import inf

import anyio

from harepick.core.messages import Message

ROOM = 8_192
# Words of one batch. The core's turn holds the loop, and what callers and the bus say meanwhile lies unread:
# at a tenth of a millisecond a word this is some 25 ms of a core.
BATCH = 256


class Inbox:
    def __init__(self, room: int = ROOM) -> None:
        self._words: deque[Message] = deque()
        self._room = room
        self._some = anyio.Event()
        self._taken = anyio.Event()

    async def put(self, word: Message) -> None:
        await self.wait_for_space()
        self.put_nowait(word)

    async def wait_for_space(self) -> None:
        """Waits while the inbox is full: whoever tells words at once waits here before it reads on."""
        while len(self._words) >= self._room:
            await self._taken.wait()

    def put_nowait(self, word: Message) -> None:
        """At once, also over the bound: for words that a cancelled wait must not lose. There is at most one
        such word of a kind for each call or connection that is open."""
        self._words.append(word)
        self._some.set()

    def __len__(self) -> int:
        return len(self._words)

    async def drain(self, wait: float) -> list[Message]:
        """What is there, `BATCH` words at most; waits for the first for `wait` seconds at most."""
        if not self._words and wait > 0:
            self._some = anyio.Event()
            with anyio.move_on_after(None if wait == inf else wait):
                await self._some.wait()
        words = [self._words.popleft() for _ in range(min(BATCH, len(self._words)))]
        self._taken.set()
        self._taken = anyio.Event()
        return words
