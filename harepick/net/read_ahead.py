"""Reads on from a connection while its earlier messages are being handled, to learn early of its end.

The end of a connection comes behind everything that its client has sent. What is read ahead is bounded for
each connection and over all of them; beyond that, the client waits, and its end is learned later."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskGroup

MAX_CONNECTION_BYTES = 1 << 20  # read ahead on one connection
DISCONNECTED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class ReadAheadBudget:
    """How many bytes all connections have read ahead, and may."""

    def __init__(self, max_bytes: int = 16 << 20) -> None:
        self._max_bytes = max_bytes
        self.held = 0

    @property
    def exhausted(self) -> bool:
        """Whether no connection may read further ahead."""
        return self.held >= self._max_bytes


class ReadAhead:
    """The bytes of one connection. `receive` works as that of the stream; after `start`, a task reads ahead.

    `on_end` is called as soon as the end of the connection is read, before `receive` has returned what came
    ahead of it."""

    def __init__(self, stream: SocketStream, budget: ReadAheadBudget, on_end: Callable[[], None]) -> None:
        self._stream, self._budget, self._on_end = stream, budget, on_end
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._end: BaseException | None = None
        self._started = False
        self._changed = anyio.Event()

    def start(self, tasks: TaskGroup) -> None:
        """Begins to read ahead in a task of `tasks`, for the rest of the connection."""
        if not self._started:
            self._started = True
            tasks.start_soon(self._run)

    @property
    def held(self) -> int:
        """Bytes that were read ahead and not received yet."""
        return self._held

    async def receive(self) -> bytes:
        """Returns the next bytes; raises one of `DISCONNECTED` at the end."""
        if not self._started:
            return await self._stream.receive()
        while not self._chunks:
            if self._end is not None:
                raise self._end
            await self._wait_for_change()
        data = self._chunks.popleft()
        self._count(-len(data))
        return data

    def close(self) -> None:
        """Drops what was read ahead."""
        self._chunks.clear()
        self._count(-self._held)

    async def _run(self) -> None:
        try:
            while True:
                while self._held and (self._held >= MAX_CONNECTION_BYTES or self._budget.exhausted):
                    await self._wait_for_change()
                data = await self._stream.receive()
                self._chunks.append(data)
                self._count(len(data))
        except DISCONNECTED as error:
            self._end = error
            self._on_end()
            self._changed.set()

    def _count(self, amount: int) -> None:
        self._held += amount
        self._budget.held += amount
        self._changed.set()

    async def _wait_for_change(self) -> None:
        self._changed = anyio.Event()
        await self._changed.wait()
