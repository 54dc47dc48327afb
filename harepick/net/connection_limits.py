"""Room for the connections of callers: who may stay, and who goes when there is none left.

Owns the set of open connections and the time limits on them. A connection with a set-up open stays. Of the
others the one with the least to lose goes first: one that never said anything, then one with no call, then
one whose calls stand (those belong to no connection), each time the longest idle.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

from harepick.core.messages import Caller
from harepick.counters import Counters
from harepick.net.outbox import Outbox

FIRST_WORD = 2.0  # without a byte from the acceptance on: a client is owed a word or a close in 3 s
HALF = (
    2.5  # from the acceptance to the first whole message, or for a later one: some callers take 2 s to write
)
IDLE = 10.0  # without a call on it; callers close such a connection themselves after 4 s
CHECK_INTERVAL_S = 0.25  # how often the limits are looked at


@dataclass(slots=True)
class Item:
    """A message to a caller."""

    call: bytes
    data: bytes
    kind: str  # answer, final, release or free
    caller: Caller | None = None  # whom an answer is for, until it is known to be written


@dataclass(eq=False, slots=True)
class Connection:
    stream: SocketStream
    at: float  # when it last said something whole, or was told something
    opened: float = 0.0
    outbox: Outbox[Item] = field(default_factory=Outbox)
    open: dict[bytes, Caller] = field(default_factory=dict)  # set-ups that wait for their answer
    standing: set[bytes] = field(default_factory=set)  # calls answered here that still stand
    alive: bool = True
    fit: bool = False  # it has sent a set-up or a release as it should be
    heard: bool = False  # a call of it came to stand: no stranger
    bad: int = 0  # faulty messages
    half_since: float | None = None  # when a message began that is not yet whole
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def settled(self) -> bool:
        """Nothing is owed on it: no set-up waits for its answer, and no message for its way out."""
        return not self.open and not len(self.outbox) and not self.outbox.in_flight

    @property
    def unheard(self) -> bool:
        """Its client has been told that it is open, and has not said anything whole."""
        return self.half_since is not None or self.at == self.opened

    def abandon(self) -> None:
        """It has ended: the core's last look must know now, not once it has heard of it."""
        for caller in self.open.values():
            caller.gone = True


class ConnectionLimits:
    def __init__(self, most: int, counters: Counters) -> None:
        self._most = most
        self._counters = counters
        self.connections: set[Connection] = set()
        self._standing: dict[bytes, Connection] = {}

    def enter(self, connection: Connection) -> bool:
        """False: every connection has a set-up open, and there is no room for another."""
        if len(self.connections) >= self._most and not self.make():
            self._counters.add("callers.turned_away")
            return False
        self.connections.add(connection)
        return True

    def make(self) -> bool:
        """Closes the connection with the least to lose; False if none may be closed."""
        loose = [c for c in self.connections if c.settled]
        if not loose:
            return False
        self._close(min(loose, key=lambda c: (c.fit, bool(c.standing), c.at)), "made_room")
        return True

    def leave(self, connection: Connection) -> None:
        connection.alive = False
        self.connections.discard(connection)
        for call in connection.standing:
            self._standing.pop(call, None)
        connection.standing.clear()

    def stands(self, connection: Connection, call: bytes) -> None:
        connection.heard = True
        connection.standing.add(call)
        self._standing[call] = connection

    def over(self, call: bytes) -> None:
        if connection := self._standing.pop(call, None):
            connection.standing.discard(call)

    def other(self) -> Connection | None:
        """Where the release of a call goes whose own connection has closed: not to a stranger."""
        fit = [c for c in self.connections if c.fit]
        return max(fit, key=lambda c: (c.heard, c.at), default=None)

    async def watch(self) -> None:
        """Closes what outstays its time: silent, half-said and idle connections."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = time.time()
            for connection in [c for c in self.connections if c.settled]:
                half = connection.half_since
                if half is not None:  # a message begun has its own time, wherever it began
                    if now - (half if connection.fit else connection.opened) > HALF:
                        self._close(connection, "half_said")
                elif not connection.fit and now - connection.at > FIRST_WORD:
                    self._close(connection, "silent")
                elif not connection.standing and now - connection.at > IDLE:
                    self._close(connection, "idle")

    def _close(self, connection: Connection, why: str) -> None:
        self._counters.add(f"callers.{why}")
        self.connections.discard(connection)  # its task ends in its own time; the room is there at once
        connection.scope.cancel()
