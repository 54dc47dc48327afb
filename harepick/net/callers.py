"""Connections of callers: takes their set-ups in, and writes what they are answered.

Owns the caller connections and the releases that still look for one. A standing call belongs to no
connection: its release goes out on the one of its set-up, else on any open one, else on the next one opened.
What a set-up must look like is in `setups.py`; which connections may stay, and for how long, in `room.py`.
"""

from __future__ import annotations

import socket
import time
from collections import deque
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from harepick import interface as i
from harepick.core.inbox import Inbox
from harepick.core.messages import CallerGone, Offer
from harepick.counters import Counters
from harepick.log import Log
from harepick.net import binary
from harepick.net.connection_limits import Connection, ConnectionLimits, Item
from harepick.net.setups import BadSetUpError, SetUps
from harepick.net.steering import spread, steer_away

NORMAL, RESET, CONGESTION, FAILURE = 16, 41, 42, 41  # causes of Q.850 in releases
RETRY_CAUSES = (34, 42, 102)  # a release with one of these is a refusal: trying again is harmless
NO_TYPE = 97
SEND_TIMEOUT = 5.0  # a caller that takes nothing for so long has its connection closed
WAITING = 4_096  # releases kept for the next connection
MAX_BAD = 16  # faulty messages taken from one connection; a client that sends the same again is closed
HANDSHAKE_SETTLE_S = 0.05  # for handshakes that began before new connections went to the successor
MAX_ENTERING = 4  # connections accepted that the room does not count yet
AT_ONCE = 8  # messages taken before the others have their turn: a flood must not hold the loop for 0.1 s


@dataclass(eq=False, slots=True)
class BinaryCaller:
    """The caller of one call, as the core sees it."""

    hub: Callers
    connection: Connection
    call: bytes
    lane: str  # its class, for the figures
    gone: bool = False

    def stands(self, description: bytes) -> None:
        item = Item(self.call, binary.answer(self.call, description), "answer")
        self.hub.write(self.connection, item, self.lane, "completed")

    def refused(self, stay_away: float) -> None:
        wait = round(stay_away * 1000) if stay_away > 0 else None
        data = binary.release(self.call, CONGESTION, wait)
        self.hub.write(self.connection, Item(self.call, data, "final"), self.lane, "rejected")

    def failed(self) -> None:
        item = Item(self.call, binary.release(self.call, FAILURE), "final")
        self.hub.write(self.connection, item, self.lane, "failed")

    def over(self, *, cut: bool) -> None:
        data = binary.release(self.call, RESET if cut else NORMAL)
        self.hub.release(self.connection, Item(self.call, data, "release"))

    def duplicate_id(self) -> None:
        """No release can tell the two calls apart, so the close is this one's answer."""
        if self.connection.open.get(self.call) is self:
            del self.connection.open[self.call]  # its close must not give the other call up
        self.connection.scope.cancel()


async def _cancel_on(event: anyio.Event, scope: anyio.CancelScope, raw: socket.socket) -> None:
    """Ends the accepting on `event`: new connections go to a successor first, if there is one."""
    await event.wait()
    if steer_away(raw):
        await anyio.sleep(HANDSHAKE_SETTLE_S)
    scope.cancel()


def _close(raw: socket.socket) -> list[socket.socket]:
    """Closes a listening socket with nothing between the last look at its queue and the close: a connection
    that the kernel has taken in on its behalf would be reset there, unheard. With SO_REUSEPORT, what comes
    after the close goes to the others listening on the address."""
    raw.setblocking(False)
    queued = []
    while True:
        try:
            sock, _ = raw.accept()
        except OSError:  # nothing more queued, or no descriptor for it: the close decides
            break
        queued.append(sock)
    raw.close()
    return queued


class Callers:
    def __init__(
        self,
        classes: tuple[i.CallClass, ...],
        inbox: Inbox,
        counters: Counters,
        log: Log,
        most: int,
    ) -> None:
        self._set_ups = SetUps(classes)
        self._inbox = inbox
        self._counters = counters
        self._log = log
        self._room = ConnectionLimits(most, counters)
        self._waiting: deque[Item] = deque(maxlen=WAITING)
        self._entering = 0

    def retune(self, classes: tuple[i.CallClass, ...]) -> None:
        """The classes of settings read again."""
        self._set_ups.retune(classes, time.time())

    @property
    def unwritten(self) -> int:
        return sum(len(c.outbox) + c.outbox.in_flight for c in self._room.connections)

    @property
    def hearing(self) -> bool:
        """Some connection is new and has said nothing yet, or a message has begun that is not yet whole. The
        room's time limits end both."""
        return any(connection.unheard for connection in self._room.connections)

    async def listen(self, listener: SocketListener, closing: anyio.Event) -> None:
        """Accepts until `closing`; neither a connection that is gone again nor a lack of descriptors ends
        that. Then closes the listener, and serves on what it has taken.

        Nothing waits between the kernel's accept and the task that owns the connection: a wait that is
        cancelled there, as `closing` would, drops a connection whose client was told that it is open."""
        raw: socket.socket = listener.extra(SocketAttribute.raw_socket)
        raw.setblocking(False)
        spread(raw)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._room.watch)
            with anyio.CancelScope() as accepting:
                tasks.start_soon(_cancel_on, closing, accepting, raw)
                while True:
                    await anyio.wait_readable(raw)
                    try:
                        while self._entering < MAX_ENTERING:
                            sock, _peer = raw.accept()
                            self._entering += 1
                            tasks.start_soon(self._serve_accepted, sock)
                        await anyio.lowlevel.checkpoint()
                    except (BlockingIOError, ConnectionAbortedError):
                        continue
                    except OSError as error:
                        self._counters.add("callers.not_accepted")
                        self._log.event("not_accepted", error=error.strerror)
                        self._room.make()
                        await anyio.sleep(0.02)
            for sock in _close(raw):
                self._entering += 1
                tasks.start_soon(self._serve_accepted, sock)
            self._log.event("not_listening", taken=self._counters["callers.connections"])

    async def _serve_accepted(self, sock: socket.socket) -> None:
        """Also a socket whose client has reset it by now."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = await SocketStream.from_socket(sock)
        except (OSError, ValueError):  # anyio says ValueError of a socket that is connected no more
            self._counters.add("callers.not_accepted")
            sock.close()
            return
        finally:
            self._entering -= 1
        await self.serve(stream)

    async def serve(self, stream: SocketStream) -> None:
        """One connection, from its acceptance to its end; no fault of it goes further."""
        now = time.time()
        connection = Connection(stream, now, opened=now)
        if not self._room.enter(connection):
            await anyio.aclose_forcefully(stream)
            return
        self._counters.add("callers.connections")
        try:
            with connection.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, connection)
                    try:
                        await self._read(connection)
                    finally:
                        connection.abandon()
                    tasks.cancel_scope.cancel()
        except Exception as error:
            self._counters.add("callers.faults")
            self._log.event("fault", where="caller", error=repr(error))
        finally:
            self._room.leave(connection)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self._closed(connection)

    def _closed(self, connection: Connection) -> None:
        """What was open on a connection is given up with it; what is over is told on another one."""
        for item in connection.outbox.clear():
            if item.kind == "answer" and item.caller:
                connection.open[item.call] = item.caller
            elif item.kind == "release":
                self.release(connection, item)
        connection.abandon()
        for call, caller in connection.open.items():
            self._inbox.put_nowait(CallerGone(call.hex(), caller))

    async def _read(self, connection: Connection) -> None:
        decoder = binary.Decoder()
        while True:
            try:
                data = await connection.stream.receive()
                now, count = time.time(), 0
                for message in decoder.feed(data):
                    await self._take(connection, message, now)
                    count += 1
                    if count % AT_ONCE == 0:
                        await anyio.lowlevel.checkpoint()
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            except binary.BinaryError as error:
                self._counters.add("callers.malformed")
                peer = connection.stream.extra(SocketAttribute.remote_address, None)
                self._log.event("malformed", peer=str(peer), error=str(error))
                return
            if self._too_bad(connection):
                self._counters.add("callers.too_bad")
                return
            if not decoder.pending:
                connection.half_since = None
            elif count or connection.half_since is None:
                connection.half_since = now

    @staticmethod
    def _too_bad(connection: Connection) -> bool:
        """So many faulty messages that the connection is closed, once that gives up no set-up of it: those
        of a class that a reload has dropped are well formed, and came beside set-ups that are owed."""
        return connection.bad > MAX_BAD and not connection.open

    async def _take(self, connection: Connection, message: binary.Message, now: float) -> None:
        if self._too_bad(connection):
            return
        match message.type:
            case binary.SET_UP:
                await self._set_up(connection, message, now)
            case binary.RELEASE:
                self._counters.add("callers.releases")
                self._fits(connection)
                if caller := connection.open.pop(message.call, None):
                    caller.gone = True
                self._room.over(message.call)
                if caller:  # a wait that the end of the connection cuts would lose it
                    self._inbox.put_nowait(CallerGone(message.call.hex(), caller))
                else:
                    await self._inbox.put(CallerGone(message.call.hex(), None))
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
                connection.bad += 1
                self.write(connection, Item(message.call, binary.release(message.call, NO_TYPE), "free"))
        connection.at = now

    async def _set_up(self, connection: Connection, message: binary.Message, now: float) -> None:
        self._counters.add("callers.set_ups")
        try:
            set_up = self._set_ups.read(message, now)
        except BadSetUpError as error:
            self._counters.add("callers.bad_set_ups")
            connection.bad += 1
            item = Item(message.call, binary.release(message.call, error.cause), "final")
            lane = self._set_ups.known(message.parameters.get(binary.CLASS, b""), now)
            self.write(connection, item, lane, "rejected" if error.cause in RETRY_CAUSES else "failed")
            return
        caller = BinaryCaller(self, connection, message.call, set_up.request.class_name.decode())
        if message.call in connection.open:
            self._counters.add("calls.clashes")
            connection.scope.cancel()
            return
        connection.open[message.call] = caller
        self._fits(connection)
        await self._inbox.put(
            Offer(
                call=message.call.hex(),
                class_name=set_up.request.class_name.decode(),
                destination=set_up.destination,
                number=int.from_bytes(set_up.request.number, "big"),
                deadline=now + set_up.patience,
                caller=caller,
                request=set_up.request,
                again=set_up.again,
                called=set_up.request.number.decode(),  # the door let only ASCII through
            )
        )

    def _fits(self, connection: Connection) -> None:
        """It speaks as a caller does: releases that wait for an open connection go out on it."""
        connection.fit = True
        while self._waiting:
            connection.outbox.put(self._waiting.popleft())

    # Towards the caller

    def write(self, connection: Connection, item: Item, lane: str | None = None, result: str = "") -> None:
        """To this connection or to none; one that takes nothing is closed. A final answer that goes out
        is counted under its class `lane` as `result`."""
        if item.kind in ("answer", "final"):
            item.caller = connection.open.pop(item.call, None)
        if not connection.alive:
            self._counters.add("callers.unwritten")
        elif not connection.outbox.put(item):
            if item.caller:
                connection.open[item.call] = item.caller
            self._counters.add("callers.too_slow")
            connection.scope.cancel()
        else:
            if lane is not None:
                self._counters.answered(lane, result)
            if item.kind == "answer":
                self._room.stands(connection, item.call)

    def release(self, connection: Connection, item: Item) -> None:
        self._room.over(item.call)
        target = connection if connection.alive else self._room.other()
        if target is None or not target.outbox.put(item):
            self._waiting.append(item)

    async def _write(self, connection: Connection) -> None:
        while True:
            await connection.outbox.wait()
            items = connection.outbox.take()
            try:
                with anyio.fail_after(SEND_TIMEOUT):
                    await connection.stream.send(b"".join(item.data for item in items))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                connection.scope.cancel()  # what is in hand is not known to be whole at the caller
                return
            connection.outbox.written()
            connection.at = time.time()
            for item in items:
                self._counters.add(f"callers.sent_{item.kind}")
