"""The one queue into the core: bounded; who can wait, waits."""

from __future__ import annotations

from math import inf

import anyio

from harepick.core.words import Word

ROOM = 8_192


class Inbox:
    def __init__(self, room: int = ROOM) -> None:
        self._sink, self._source = anyio.create_memory_object_stream[Word](room)

    async def put(self, word: Word) -> None:
        await self._sink.send(word)

    async def drain(self, wait: float) -> list[Word]:
        """All that is there; waits for the first word for `wait` seconds at most."""
        words: list[Word] = []
        with anyio.move_on_after(None if wait == inf else max(0.0, wait)):
            words.append(await self._source.receive())
        while True:
            try:
                words.append(self._source.receive_nowait())
            except anyio.WouldBlock:
                return words
