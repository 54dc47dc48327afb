"""All that goes to one setup server: its lines, and the calls that stand there.

Owns the choice of line for every order, and the evidence of a server's death. A set-up goes out on a line
with nothing else open where there is one: an answer that is spoilt or never comes takes its line along, with
all that is open there. A call that stands belongs to no line, so that one is opened again at once to hear of
its end. Only a server that takes no new connection has died: peers reset connections of processes that live
on.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from harepick import interface as i
from harepick.core.inbox import Inbox
from harepick.core.messages import Attempt, AttemptOver, ServerDied
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.log import Log
from harepick.net.server_connection import Bye, Cancel, Item, ServerConnection
from harepick.settings import Address

DIALOGS = 16_384  # calls kept for the releases to come
UNSENT = 1_024  # releases kept for the next line
LINES = 8  # with this many, set-ups share one
MAX_LINES = 16  # those that have gone quiet included
SPARE = 3.0  # a line with nothing open is kept for so long beside others
SERVER_SILENCE_S = (
    2.0  # with something open, a server that says nothing for so long may not be there any more
)
FAILURE_CONFIRM_S = 0.2  # two connections failed so far apart, or further, are no chance
FLAPS = 5  # lines in a row that ended before they brought anything: then what waits is given up
CHECK_INTERVAL_S = 0.1  # how often all this is looked at


@dataclass(slots=True)
class Dialog:
    """A call that stands."""

    number: bytes
    since: float
    line: ServerConnection  # of its set-up: its end is told there, if that one is still open


class Port(Protocol):
    """What a link needs of its owner."""

    inbox: Inbox
    counters: Counters
    log: Log
    connect_timeout: float
    idle_close: float

    @property
    def room(self) -> bool:
        """Whether a server that has a line may have another."""


class ConnectionPool:
    def __init__(self, port: Port, tasks: TaskGroup, server: str, where: Address) -> None:
        self.port = port
        self.server = server
        self.address = where
        self.standing: OrderedDict[str, Dialog] = OrderedDict()
        self.heard = time.time()  # when anything but a refusal last came from the server
        self.answered = 0.0  # when the latest set-up answered so far was sent
        self.retired = False
        self._tasks = tasks
        self._lines: list[ServerConnection] = []  # oldest first
        self._unsent: list[Bye] = []
        self._failed = 0.0  # when a connection first failed since the server last spoke
        self._again = 0.0  # when to connect again for the calls that stand
        self._flaps = 0
        self._scope = anyio.CancelScope()

    @property
    def lines(self) -> int:
        return len(self._lines)

    @property
    def backlog(self) -> int:
        return sum(len(line.outbox) + line.outbox.in_flight for line in self._lines if line.up)

    # Orders

    def place(self, attempt: Attempt) -> bool:
        """False: what waits for this server is too much already."""
        return self._give(attempt)

    def cancel(self, attempt: Attempt) -> bool:
        """False: the attempt is open on no line."""
        for line in self._lines:
            if line.open.get(attempt.call) is attempt:
                if not line.outbox.put(Cancel(attempt)):
                    line.close("too_slow")  # it is given up with its line: while that lives, it is out
                return True
        return False

    def release(self, call: str) -> bool:
        return self._give(Bye(call))

    def _give(self, item: Item) -> bool:
        now = time.time()
        sound = [line for line in self._lines if not line.quiet(now)]
        free = [line for line in sound if not line.load]
        if free:
            return max(free, key=lambda line: line.heard).outbox.put(item)
        if isinstance(item, Bye) and sound:
            return min(sound, key=lambda line: line.load).outbox.put(item)
        more = len(sound) < LINES and len(self._lines) < MAX_LINES and self.port.room
        if more or not self._lines:
            self._open(item)
            return True
        return min(sound or self._lines, key=lambda line: line.load).outbox.put(item)

    def _open(self, *orders: Item) -> None:
        line = ServerConnection(self, orders)
        self._lines.append(line)
        self._tasks.start_soon(line.run)

    # What lines tell

    def came_up(self, line: ServerConnection) -> None:
        for bye in self._unsent:
            line.outbox.put(bye)
        self._unsent.clear()

    def stands(self, call: str, number: bytes, line: ServerConnection) -> None:
        self.over(call)
        self.standing[call] = Dialog(number, time.time(), line)
        line.calls += 1
        if len(self.standing) > DIALOGS:
            self.over(next(iter(self.standing)))

    def over(self, call: str) -> Dialog | None:
        """A call no longer stands; None if it did not."""
        if dialog := self.standing.pop(call, None):
            dialog.line.calls -= 1
        return dialog

    def ended(self, line: ServerConnection) -> None:
        """What was open on it is given up with it; what had not left goes on another, if one comes up."""
        self._lines.remove(line)
        tell = self.port.inbox.put_nowait
        if line.up:
            counts = {"open": len(line.open), "standing": len(self.standing), "lines": len(self._lines)}
            self.port.log.event("closed", server=self.server, **counts)
        for attempt in line.open.values():
            tell(AttemptOver(attempt, i.Outcome.RESET))
        self._flaps = 0 if line.spoke else self._flaps + 1
        for item in line.outbox.clear():
            if isinstance(item, Cancel):
                tell(AttemptOver(item.attempt, i.Outcome.CANCELLED))
            elif isinstance(item, Bye):
                self._keep(item)
            elif isinstance(item, Attempt) and item.sent is None and not item.ended:
                others = [other for other in self._lines if other.up]
                if others and not self.retired:
                    min(others, key=lambda other: other.load).outbox.put(item)
                elif line.up and not self.retired and self._flaps < FLAPS:
                    self._open(item)
                else:
                    tell(AttemptOver(item, i.Outcome.UNREACHED))
        if not line.up and not self.retired and not line.starved:
            self._failure()

    def _keep(self, bye: Bye) -> None:
        if len(self._unsent) < UNSENT:
            self._unsent.append(bye)
        else:
            self.port.counters.add("servers.releases_lost")

    # Life and death of the server

    def _failure(self) -> None:
        """A connection did not come up: proof that nothing ran of what waited for it. Twice, while nothing
        else speaks for the server, it proves that the server has died, and that its calls are cut."""
        now = time.time()
        if any(line.up for line in self._lines) and now - self.heard < SERVER_SILENCE_S:
            return  # it may take no more connections, but it lives
        # Counted since it last spoke: the kernel of a machine whose processes are gone may still take a few
        # connections, so that one that comes up proves nothing.
        first = self._failed <= self.heard
        if first or now - self._failed < FAILURE_CONFIRM_S:
            self._failed = now if first else self._failed
            self._again = now + FAILURE_CONFIRM_S
            return
        if self.standing:
            self.port.counters.add("servers.died")
            self.port.log.event("died", server=self.server, standing=len(self.standing))
        self.standing.clear()
        self._unsent.clear()
        self._failed = 0.0
        for line in self._lines:
            line.scope.cancel()
        self.port.inbox.put_nowait(ServerDied(self.server, now))

    def listed(self, row: i.ServerEntry, directory: Directory) -> None:
        """What the list tells of this server; the core cuts its calls itself."""
        known = directory.get(row.server)
        if row.state == "gone":
            self.standing.clear()
            self.retired = True
            self._scope.cancel()
            for line in self._lines:
                line.scope.cancel()
        elif known and known.address != self.address:
            self.address = known.address
            for line in self._lines:
                line.close("moved")
        elif row.started > 0:  # the process behind older lines is another one
            for call in [c for c, dialog in self.standing.items() if dialog.since < row.started]:
                self.over(call)
            for line in self._lines:
                if 0 < line.heard < row.started:
                    line.close("half_open")

    async def watch(self) -> None:
        """Looks after the lines until the server is gone."""
        with self._scope:
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                self._look(time.time())

    def _look(self, now: float) -> None:
        for line in list(self._lines):
            if line.dead(now, self.answered):
                line.close("dead_lines")
            elif line.spare and now - line.heard > SPARE and len(self._lines) > 1:
                line.close("spare_lines")
                return  # one at a time: the last stays
        if not self._lines:
            if (self.standing or self._unsent) and now >= self._again:
                self._again = now + FAILURE_CONFIRM_S
                self._open()
        elif self._busy and now - self.heard >= SERVER_SILENCE_S and now >= self._again:
            # A machine that has vanished says nothing, resets nothing and takes no new connection. Its calls
            # are over, and their callers must be told within 8 s: only a new connection shows it.
            self._again = now + (SERVER_SILENCE_S if self._failed <= self.heard else FAILURE_CONFIRM_S)
            if len(self._lines) >= MAX_LINES or not self.port.room:
                self._lines[0].close("spare_lines")  # silent like the others
            self.port.counters.add("servers.checks")
            self._open()

    @property
    def _busy(self) -> bool:
        return bool(self.standing) or any(line.load for line in self._lines)
