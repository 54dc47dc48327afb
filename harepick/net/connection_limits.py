"""Limits on the connections of callers: how many there may be, and for how long.

Owns the set of open connections and their time limits. A connection with an open set-up is never closed.
To make room, the others are closed in this order: those that never sent a valid request, those with no
call, those whose calls stand (such calls belong to no connection); among equals the longest idle goes
first."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

from harepick.core.messages import Caller
from harepick.counters import Counters
from harepick.net.outbox import Outbox

# Without a byte since the acceptance; the platform requires an answer or a close within 3 s.
FIRST_MESSAGE_TIMEOUT_S = 2.0
# From the acceptance to the first whole message, or from the first byte of a later one: some callers take 2 s
# to write a message.
PARTIAL_MESSAGE_TIMEOUT_S = 2.5
IDLE_TIMEOUT_S = 10.0  # without a call; callers close such a connection themselves after 4 s
MAX_OUTBOX_BYTES = 512 * 1024  # queued for one caller, beyond what the kernel holds
CHECK_INTERVAL_S = 0.25  # between checks of the time limits


@dataclass(slots=True)
class CallerMessage:
    """An encoded message to a caller."""

    call: bytes
    data: bytes
    # answer (the call stands), final (any other final answer), release (of a standing call) or free (any
    # other message); part of the counter's name
    kind: str
    caller: Caller | None = None  # whom an answer is for, until it is known to be written

    def size(self) -> int:
        """Bytes of the encoded message."""
        return len(self.data)


@dataclass(eq=False, slots=True)
class CallerConnection:
    """One connection of a caller; times are clock times in seconds."""

    stream: SocketStream
    last_activity: float  # when the last whole message was received or sent
    opened_at: float = 0.0
    outbox: Outbox[CallerMessage] = field(
        default_factory=lambda: Outbox(max_bytes=MAX_OUTBOX_BYTES, size_of=CallerMessage.size)
    )
    open_set_ups: dict[bytes, Caller] = field(default_factory=dict)  # unanswered set-ups, by call id
    standing_calls: set[bytes] = field(default_factory=set)  # calls answered here that still stand
    alive: bool = True
    client_gone: bool = False  # its end was read; set-ups that came before it are handled no more
    handling: bool = False  # some of what was read is not handled yet
    closing: bool = False  # takes no more messages; it is closed once its open set-ups are answered
    is_caller: bool = False  # has sent a valid set-up or a release
    had_standing_call: bool = False  # a call answered here came to stand
    invalid_messages: int = 0
    partial_since: float | None = None  # when the first byte of an incomplete message came
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def nothing_pending(self) -> bool:
        """No set-up waits for its answer, and no message waits to be written."""
        return not self.open_set_ups and not len(self.outbox) and not self.outbox.in_flight

    @property
    def awaiting_message(self) -> bool:
        """Whether the client has sent nothing complete since the acceptance, or an incomplete message."""
        return self.partial_since is not None or self.last_activity == self.opened_at

    def mark_client_gone(self) -> None:
        """Marks the client, and the callers of the open set-ups, as gone, at once: the check before an
        attempt is sent must not depend on when the core processes the end of the connection."""
        self.client_gone = True
        for caller in self.open_set_ups.values():
            caller.gone = True


class ConnectionLimits:
    """The open caller connections, bounded in number and by time limits."""

    def __init__(self, max_connections: int, counters: Counters) -> None:
        self._max_connections = max_connections
        self._counters = counters
        self.connections: set[CallerConnection] = set()
        self._connection_of_call: dict[bytes, CallerConnection] = {}

    def add(self, connection: CallerConnection) -> bool:
        """Adds a connection, evicting another at the bound; returns False if every connection is in use."""
        if len(self.connections) >= self._max_connections and not self.evict_one():
            self._counters.add("callers.turned_away")
            return False
        self.connections.add(connection)
        return True

    def evict_one(self) -> bool:
        """Closes the connection that is least in use; returns False if none may be closed."""
        candidates = [c for c in self.connections if c.nothing_pending]
        if not candidates:
            return False
        self._close(
            min(candidates, key=lambda c: (c.is_caller, bool(c.standing_calls), c.last_activity)), "made_room"
        )
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Removes a connection that has ended."""
        connection.alive = False
        self.connections.discard(connection)
        for call in connection.standing_calls:
            self._connection_of_call.pop(call, None)
        connection.standing_calls.clear()

    def call_stands(self, connection: CallerConnection, call: bytes) -> None:
        """Records that a call answered on this connection stands."""
        connection.had_standing_call = True
        connection.standing_calls.add(call)
        self._connection_of_call[call] = connection

    def call_ended(self, call: bytes) -> None:
        """Records that a call no longer stands."""
        if connection := self._connection_of_call.pop(call, None):
            connection.standing_calls.discard(call)

    def release_target(self) -> CallerConnection | None:
        """Returns the connection for the release of a call whose own connection has closed; None if no
        connection has sent a valid set-up or a release."""
        callers = [c for c in self.connections if c.is_caller]
        return max(callers, key=lambda c: (c.had_standing_call, c.last_activity), default=None)

    async def watch(self) -> None:
        """Closes silent, stalled and idle connections, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = time.time()
            for connection in [c for c in self.connections if c.nothing_pending]:
                partial_since = connection.partial_since
                if partial_since is not None:  # an incomplete message has a time limit of its own
                    if (
                        now - (partial_since if connection.is_caller else connection.opened_at)
                        > PARTIAL_MESSAGE_TIMEOUT_S
                    ):
                        self._close(connection, "half_said")
                elif not connection.is_caller and now - connection.last_activity > FIRST_MESSAGE_TIMEOUT_S:
                    self._close(connection, "silent")
                elif not connection.standing_calls and now - connection.last_activity > IDLE_TIMEOUT_S:
                    self._close(connection, "idle")

    def _close(self, connection: CallerConnection, reason: str) -> None:
        self._counters.add(f"callers.{reason}")
        self.connections.discard(connection)  # at once, as its task ends only later
        connection.scope.cancel()
