"""Connections of callers: takes their set-ups in, and writes what they are answered.

Owns the caller connections and the releases that still look for one. A standing call belongs to no
connection: its release goes out on the one of its set-up, else on any open one, else on the next one opened.
"""

from __future__ import annotations

import re
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream

from harepick import interface as i
from harepick.core.inbox import Inbox
from harepick.core.words import CallerGone, Offer
from harepick.counters import Counters
from harepick.log import Log
from harepick.net import binary
from harepick.net.outbox import Outbox

NORMAL, RESET, CONGESTION, FAILURE = 16, 41, 42, 41  # causes of Q.850 in releases
MISSING, NO_TYPE, INVALID, BAD_NUMBER = 96, 97, 100, 28
SEND_TIMEOUT = 5.0  # a caller that takes nothing for so long has its connection closed
WAITING = 4_096  # releases kept for the next connection
NUMBER = re.compile(rb"[0-9A-Za-z+*#_.-]{1,64}$")  # what fits into a SIP address as it is


@dataclass(slots=True)
class Request:
    """The fields of a set-up that go on unchanged."""

    class_name: bytes
    number: bytes
    description: bytes


@dataclass(slots=True)
class Item:
    call: bytes
    data: bytes
    kind: str  # answer, final, release or free


@dataclass(eq=False, slots=True)
class Connection:
    stream: SocketStream
    outbox: Outbox[Item] = field(default_factory=Outbox)
    open: set[bytes] = field(default_factory=set)  # set-ups that wait for their answer
    alive: bool = True
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class BinaryCaller:
    """The caller of one call, as the core sees it."""

    __slots__ = ("_call", "_connection", "_hub")

    def __init__(self, hub: Callers, connection: Connection, call: bytes) -> None:
        self._hub, self._connection, self._call = hub, connection, call

    def stands(self, description: bytes) -> None:
        self._hub.write(self._connection, Item(self._call, binary.answer(self._call, description), "answer"))

    def refused(self, stay_away: float) -> None:
        wait = round(stay_away * 1000) if stay_away > 0 else None
        data = binary.release(self._call, CONGESTION, wait)
        self._hub.write(self._connection, Item(self._call, data, "final"))

    def failed(self) -> None:
        self._hub.write(self._connection, Item(self._call, binary.release(self._call, FAILURE), "final"))

    def over(self, *, cut: bool) -> None:
        data = binary.release(self._call, RESET if cut else NORMAL)
        self._hub.release(self._connection, Item(self._call, data, "release"))


class Callers:
    def __init__(
        self,
        classes: tuple[i.CallClass, ...],
        inbox: Inbox,
        counters: Counters,
        log: Log,
        most: int,
    ) -> None:
        self._patience: Mapping[bytes, float] = {c.name.encode(): c.give_up for c in classes}
        self._inbox = inbox
        self._counters = counters
        self._log = log
        self._most = most
        self._connections: set[Connection] = set()
        self._waiting: deque[Item] = deque(maxlen=WAITING)

    @property
    def unwritten(self) -> int:
        return sum(len(connection.outbox) for connection in self._connections)

    async def serve(self, stream: SocketStream) -> None:
        """One connection, from its acceptance to its end; no fault of it goes further."""
        if len(self._connections) >= self._most:
            self._counters.add("callers.turned_away")
            await stream.aclose()
            return
        connection = Connection(stream)
        self._connections.add(connection)
        self._counters.add("callers.connections")
        while self._waiting:
            connection.outbox.put(self._waiting.popleft())
        try:
            with connection.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, connection)
                    await self._read(connection)
                    tasks.cancel_scope.cancel()
        finally:
            connection.alive = False
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
                await self._closed(connection)

    async def _closed(self, connection: Connection) -> None:
        """What was open on a connection is given up with it; what is over is told on another one."""
        for item in connection.outbox.clear():
            if item.kind == "answer":
                connection.open.add(item.call)
            elif item.kind == "release":
                self.release(connection, item)
        for call in connection.open:
            await self._inbox.put(CallerGone(call.hex()))

    async def _read(self, connection: Connection) -> None:
        decoder = binary.Decoder()
        while True:
            try:
                data = await connection.stream.receive()
                now = time.time()
                messages = decoder.feed(data)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            except binary.BinaryError as error:
                self._counters.add("callers.malformed")
                peer = connection.stream.extra(SocketAttribute.remote_address, None)
                self._log.event("malformed", peer=str(peer), error=str(error))
                return
            for message in messages:
                await self._take(connection, message, now)

    async def _take(self, connection: Connection, message: binary.Message, now: float) -> None:
        match message.type:
            case binary.SET_UP:
                await self._set_up(connection, message, now)
            case binary.RELEASE:
                self._counters.add("callers.releases")
                connection.open.discard(message.call)
                await self._inbox.put(CallerGone(message.call.hex()))
                heard = binary.Message(binary.HEARD, message.call).encode()
                self.write(connection, Item(message.call, heard, "free"))
            case binary.TEST:
                self._counters.add("callers.tests")
                passed = binary.Message(binary.TESTED, message.call, {binary.CAUSE: b"\x01"})
                self.write(connection, Item(message.call, passed.encode(), "free"))
            case binary.PROGRESS | binary.HEARD | binary.STATE | binary.TESTED:
                pass
            case _:
                self._counters.add("callers.unknown")
                self.write(connection, Item(message.call, binary.release(message.call, NO_TYPE), "free"))

    async def _set_up(self, connection: Connection, message: binary.Message, now: float) -> None:
        self._counters.add("callers.set_ups")
        fields = message.parameters
        class_name, number = fields.get(binary.CLASS, b""), fields.get(binary.NUMBER, b"")
        table = binary.figures(fields.get(binary.FIGURES, b""))
        cause = 0
        if class_name not in self._patience:
            cause = INVALID if class_name else MISSING
        elif not NUMBER.match(number):
            cause = BAD_NUMBER if number else MISSING
        try:
            patience = float(int(fields[binary.PATIENCE])) / 1000.0 if binary.PATIENCE in fields else None
            dest = int(table.get("dest", "-1"))
        except ValueError:
            cause = INVALID
        if cause:
            self._counters.add("callers.bad_set_ups")
            self.write(connection, Item(message.call, binary.release(message.call, cause), "final"))
            return
        connection.open.add(message.call)
        await self._inbox.put(
            Offer(
                call=message.call.hex(),
                class_name=class_name.decode(),
                destination=dest,
                number=int.from_bytes(number, "big"),
                deadline=now + (self._patience[class_name] if patience is None else patience),
                caller=BinaryCaller(self, connection, message.call),
                request=Request(class_name, number, fields.get(binary.DESCRIPTION, b"")),
                again=table.get("again") == "1",
            )
        )

    # Towards the caller

    def write(self, connection: Connection, item: Item) -> None:
        """To this connection or to none; one that takes nothing is closed."""
        if item.kind in ("answer", "final"):
            connection.open.discard(item.call)
        if not connection.alive:
            self._counters.add("callers.unwritten")
        elif not connection.outbox.put(item):
            connection.open.add(item.call)
            self._counters.add("callers.too_slow")
            connection.scope.cancel()

    def release(self, connection: Connection, item: Item) -> None:
        target = connection if connection.alive else next(iter(self._connections), None)
        if target is None or not target.outbox.put(item):
            self._waiting.append(item)

    async def _write(self, connection: Connection) -> None:
        while True:
            await connection.outbox.wait()
            items = connection.outbox.clear()
            try:
                with anyio.fail_after(SEND_TIMEOUT):
                    await connection.stream.send(b"".join(item.data for item in items))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                for item in items:  # not known to be whole at the caller: as if unsent
                    connection.outbox.put(item)
                connection.scope.cancel()
                return
            for item in items:
                self._counters.add(f"callers.sent_{item.kind}")
