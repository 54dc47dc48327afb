"""The bounded queue of messages into the core; writers wait while it is full."""

from __future__ import annotations

from collections import deque
from math import inf

import anyio

from harepick.core.messages import Message, Offer

# Messages that may wait: about 0.1 s of the core's work. A longer queue would make every client wait for a
# flood of one.
DEFAULT_CAPACITY = 512
MAX_REQUEST_BYTES = 8 << 20  # of the new calls that may wait
# Handling a batch blocks the event loop: nothing is read or accepted meanwhile.
MAX_BATCH_MESSAGES = 32


class Inbox:
    """A queue of at most `capacity` messages, in order, whose requests take at most `max_request_bytes`; only
    `put_nowait` may exceed the limits.

    Writers that wait for space get it in the order in which they began to wait, one message at a time, and a
    writer that did not wait does not overtake them: a client that sends at full speed delays no other."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY, max_request_bytes: int = MAX_REQUEST_BYTES) -> None:
        self._messages: deque[Message] = deque()
        self._capacity = capacity
        self._max_request_bytes = max_request_bytes
        self._request_bytes = 0
        self._filled = anyio.Event()
        self._waiting: deque[anyio.Event] = deque()  # of writers, the longest waiting first
        self._granted = 0  # places given to writers that have not used them yet

    @property
    def _has_space(self) -> bool:
        return (
            len(self._messages) + self._granted < self._capacity
            and self._request_bytes < self._max_request_bytes
        )

    async def put(self, message: Message) -> None:
        """Adds a message; waits while the inbox is full."""
        await self.wait_for_space()
        self.put_nowait(message)

    async def wait_for_space(self) -> None:
        """Waits while the inbox is full. Readers that use `put_nowait` call this before they read more."""
        if self._has_space and not self._waiting:
            return
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:  # cancelled: the place goes to the next writer
            if turn.is_set():
                self._granted -= 1
                self._grant_places()
            else:
                self._waiting.remove(turn)
            raise
        self._granted -= 1

    def _grant_places(self) -> None:
        while self._waiting and self._has_space:
            self._granted += 1
            self._waiting.popleft().set()

    def put_nowait(self, message: Message) -> None:
        """Adds a message at once, even above the limit: for messages that a cancelled wait must not lose.

        There is at most one such message of a kind per open call or connection.
        """
        self._messages.append(message)
        if isinstance(message, Offer):
            self._request_bytes += message.request_bytes
        self._filled.set()

    def __len__(self) -> int:
        return len(self._messages)

    async def drain(self, wait: float) -> list[Message]:
        """Removes and returns up to `MAX_BATCH_MESSAGES` messages.

        Waits for the first one for at most `wait` seconds."""
        if not self._messages and wait > 0:
            self._filled = anyio.Event()
            with anyio.move_on_after(None if wait == inf else wait):
                await self._filled.wait()
        messages = [self._messages.popleft() for _ in range(min(MAX_BATCH_MESSAGES, len(self._messages)))]
        self._request_bytes -= sum(
            message.request_bytes for message in messages if isinstance(message, Offer)
        )
        self._grant_places()
        return messages
