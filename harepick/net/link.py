"""One setup server's connection: opened when there is something to send or to hear.

Owns the connection, the set-ups open on it and the dialogs of the calls that stand there. A set-up belongs to
its connection and is given up with it; a call that stands belongs to none, so the link connects again at once
and listens on. Only a server that takes no new connection has died: peers reset connections of processes that
live on. What the list tells of a server ends here as well.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import SocketStream, TaskGroup

from harepick import interface as i
from harepick.core.inbox import Inbox
from harepick.core.words import Answered, Attempt, AttemptOver, CallOver, ServerDied, Told, Word
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.log import Log
from harepick.net import sip
from harepick.net.outbox import Outbox
from harepick.net.setups import Request
from harepick.settings import Address

NOTES = {"group_full": 1, "tandem_refused": 2, "processor_full": 3, "user_busy": 4, "destination_full": 18}
OUTCOMES = {
    503: i.Outcome.FULL,
    486: i.Outcome.ERROR,
    500: i.Outcome.ERROR,
    480: i.Outcome.MOOT,
    504: i.Outcome.RESET,
}
CSEQ = 1  # of every INVITE; a release has the next
CUT = 41  # cause of a release for a call that was cut; 16 is its common end
SEND_TIMEOUT = 2.0  # a server that takes nothing for so long has its connection closed
DIALOGS = 16_384  # calls kept for the releases to come, and set-ups given up whose answer may still come
UNSENT = 1_024  # releases kept for the next connection
SILENCE = 2.0  # with something open, a server that says nothing for so long may not be there any more
LOOK = 0.25  # how often that is looked at
SURE = 0.2  # two connections failed so far apart, or further, are no chance
STALL = 0.25  # a message begun and not finished in this time will not be
FLAP, LONGEST_FLAP = 0.01, 0.25  # pause before the next connection if the last one brought nothing


@dataclass(slots=True)
class Cancel:
    attempt: Attempt


@dataclass(slots=True)
class Bye:
    call: str
    number: bytes = b""  # once it has left, or tried to: the dialog is over by then


@dataclass(slots=True)
class Dialog:
    """A call that stands."""

    number: bytes
    since: float


Item = Attempt | Cancel | Bye | bytes


class Port(Protocol):
    """What a link needs of its owner."""

    inbox: Inbox
    counters: Counters
    log: Log
    connect_timeout: float
    idle_close: float


class Link:
    def __init__(self, port: Port, server: str, where: Address) -> None:
        self._port = port
        self._count = port.counters.add
        self._server = server
        self._address = where
        self.outbox: Outbox[Item] = Outbox()
        self.open: dict[str, Attempt] = {}
        self._standing: OrderedDict[str, Dialog] = OrderedDict()
        self._crossing: OrderedDict[str, bytes] = OrderedDict()  # given up here -> number called
        self._unsent: list[Bye] = []
        self._connected = 0.0
        self._heard = 0.0  # when anything last came from the server
        self._failed = 0.0  # when the first of the latest connections in a row failed; 0: none has
        self._seconds = 0  # connections beside the main one
        self._connection: anyio.CancelScope | None = None
        self._scope = anyio.CancelScope()
        self.retired = False

    @property
    def idle(self) -> bool:
        return not self.open and not len(self.outbox) and not self._standing

    @property
    def backlog(self) -> int:
        return len(self.outbox) if self._connection else 0

    def listed(self, row: i.ServerEntry, directory: Directory) -> None:
        """What the list tells of this server; the core cuts its calls itself."""
        known = directory.get(row.server)
        if row.state == "gone":
            self._standing.clear()
            self.retired = True
            self._scope.cancel()
        elif known and known.address != self._address:
            self._address = known.address
            self._drop()
        elif row.started > 0:
            for call in [c for c, dialog in self._standing.items() if dialog.since < row.started]:
                del self._standing[call]
            if row.started > self._connected > 0:
                self._drop()  # half open: the process behind it is another one

    def _drop(self) -> None:
        if self._connection:
            self._connection.cancel()

    async def run(self) -> None:
        """Until the server is gone; no fault of one connection ends it."""
        pause = FLAP
        try:
            with self._scope:
                while True:
                    if not self._standing:
                        await self.outbox.wait()
                    stream = await self._connect()
                    if stream is None:
                        await self._unreached()
                        continue
                    begun = self._connected
                    try:
                        await self._serve(stream)
                    except Exception as error:
                        self._count("servers.faults")
                        self._port.log.event("fault", where=self._server, error=repr(error))
                    pause = FLAP if self._heard > begun else min(2 * pause, LONGEST_FLAP)
                    await anyio.sleep(pause)
        finally:
            self._give_up()

    async def _connect(self) -> SocketStream | None:
        try:
            with anyio.fail_after(self._port.connect_timeout):
                stream = await anyio.connect_tcp(self._address.host, self._address.port)
        except (OSError, TimeoutError) as error:
            self._count("servers.unreached")
            self._port.log.event("unreached", server=self._server, error=type(error).__name__)
            return None
        self._failed = 0.0
        self._connected = self._heard = time.time()
        self._count("servers.connections")
        for bye in self._unsent:
            self.outbox.put(bye)
        self._unsent.clear()
        return stream

    async def _unreached(self) -> None:
        """No connection came up: proof that nothing ran of what waits, and, twice, that the server died."""
        self._give_up()
        if not self._standing:
            return
        if self._sure():
            await self._died()
            return
        with anyio.move_on_after(SURE):
            await self.outbox.wait()

    def _sure(self) -> bool:
        """After a failed connection: True once it was not the first."""
        now = time.time()
        if self._failed and now - self._failed >= SURE:
            return True
        self._failed = self._failed or now
        return False

    async def _died(self) -> None:
        """When a process dies or a machine vanishes, its calls are cut, and their callers must be told."""
        self._count("servers.died")
        self._port.log.event("died", server=self._server, standing=len(self._standing))
        self._standing.clear()
        self._unsent.clear()
        self._failed = 0.0
        await self._word(ServerDied(self._server, time.time()))

    def _give_up(self) -> None:
        """What waits to be sent is over; releases are kept for the next connection."""
        for item in self.outbox.clear():
            if isinstance(item, Attempt):
                self._port.inbox.tell(AttemptOver(item, i.Outcome.UNREACHED))
            elif isinstance(item, Cancel):
                self._port.inbox.tell(AttemptOver(item.attempt, i.Outcome.CANCELLED))
            elif isinstance(item, Bye):
                self._keep(item)

    def _keep(self, bye: Bye) -> None:
        if len(self._unsent) < UNSENT:
            self._unsent.append(bye)
        else:
            self._count("servers.releases_lost")

    async def _serve(self, stream: SocketStream) -> None:
        """One connection to its end; what was open on it is given up with it, what stands is not."""
        try:
            with anyio.CancelScope() as self._connection:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream, tasks.cancel_scope)
                    tasks.start_soon(self._watch, tasks)
                    await self._read(stream)
                    tasks.cancel_scope.cancel()
        finally:  # also when the link itself is ended: a descriptor must not wait for the collector
            self._connection = None
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self._count("servers.closed")
            standing = len(self._standing)
            self._port.log.event("closed", server=self._server, open=len(self.open), standing=standing)
            self._crossing.clear()
            self.outbox.drop(lambda item: isinstance(item, bytes))  # said to the connection that was
            for attempt in self.open.values():
                self._port.inbox.tell(AttemptOver(attempt, i.Outcome.RESET))
            self.open = {}

    async def _watch(self, tasks: TaskGroup) -> None:
        """Guards against a half-open connection: a machine that has vanished says nothing, resets nothing
        and takes no new connection. Its calls are over, and their callers must be told within 8 s.

        A silent server is connected to once more. If that fails twice, the old connection is given up; if it
        comes up, the server lives, and what it has to say may come on either."""
        while True:
            await anyio.sleep(LOOK)
            silent = time.time() - self._heard >= SILENCE
            if not silent or not (self._standing or self.open):
                self._failed = 0.0
                continue
            try:
                with anyio.fail_after(self._port.connect_timeout):
                    stream = await anyio.connect_tcp(self._address.host, self._address.port)
            except (OSError, TimeoutError):
                if self._sure():
                    self._count("servers.vanished")
                    await self._died()
                    self._drop()
                continue
            self._failed = 0.0
            self._count("servers.second_connections")
            self._heard = time.time()
            tasks.start_soon(self._read_second, stream)

    async def _read_second(self, stream: SocketStream) -> None:
        """For as long as the next look may take; no set-up is on it, so that its end costs nothing."""
        try:
            with anyio.move_on_after(2 * SILENCE):
                await self._read(stream)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _read(self, stream: SocketStream) -> None:
        """Until the connection ends or is of no more use."""
        decoder = sip.Decoder()
        begun: float | None = None  # of the message that is not yet whole
        late = False  # half the time for the rest of it is over
        while True:
            limit = self._port.idle_close if begun is None else STALL / 2
            try:
                with anyio.move_on_after(limit) as scope:
                    data = await stream.receive()
                if scope.cancelled_caught:
                    if begun is None and self.idle:
                        return
                    if begun is not None and late:  # looked at twice: not our own delay
                        raise sip.SipError("a message that stops short")
                    late = True
                    continue
                self._heard, late = time.time(), False
                count = 0
                for message in decoder.feed(data):
                    count += 1
                    await self._take(message)
                if not decoder.pending:
                    begun = None
                elif count or begun is None:
                    begun = self._heard
                elif self._heard - begun > 2 * STALL:
                    raise sip.SipError("a message that does not end")
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            except sip.SipError as error:
                self._count("servers.malformed")
                self._port.log.event("malformed", server=self._server, error=str(error))
                return

    async def _take(self, message: sip.Message) -> None:
        if message.status:
            if message.method == "INVITE" and message.status >= 200:
                await self._answer(message)
            return
        match message.method:
            case "BYE":
                self._count("servers.releases")
                self._say(sip.response(message, 200, b"OK"))
                self._standing.pop(message.call, None)
                await self._word(CallOver(message.call, self._server, sip.cause(message) == CUT))
            case "NOTIFY":
                self._count("servers.notifies")
                if report := sip.load(message):
                    await self._word(Told(i.Probed(self._server, i.Outcome.OK, 0.0, report)))
            case "OPTIONS":
                self._say(sip.response(message, 200, b"OK"))
            case "ACK":
                pass
            case _:
                self._count("servers.unknown")
                self._say(sip.response(message, 501, b"Not Implemented"))

    async def _answer(self, message: sip.Message) -> None:
        """A final answer to an INVITE: acknowledged if there was one, also if it comes too late.

        Matched by Call-ID and method alone: servers answer `CSeq: 1 INVITE` whatever was asked, so that the
        number tells nothing of the attempt. What was cancelled is no longer open; its 487 ends nothing.
        An answer under an id that nothing was sent for, ahead of a good one, says nothing of that one."""
        call = message.call
        if call in self.open and message.status != 487:
            number = _request(self.open[call]).number
        elif call in self._crossing:
            number = self._crossing.pop(call)
        elif call in self._standing:
            number = self._standing[call].number
        else:
            self._count("servers.unknown_answers")
            return
        if message.status < 300 and not message.body:
            raise sip.SipError("an answer without a description")
        self._say(sip.request("ACK", number, call, CSEQ))
        if message.status == 487:
            self._count("servers.cancels_heard")
            return
        attempt = self.open.pop(call, None)
        if message.status < 300:
            if attempt is None and call in self._standing:
                self._count("servers.copies")
                return
            self._count("servers.answers")
            self._stand(call, number)
            tried = -1 if attempt is None else attempt.number
            await self._word(Answered(call, tried, self._server, message.body))
        elif attempt is not None:
            self._count(f"servers.status_{message.status}")
            outcome = OUTCOMES.get(message.status, i.Outcome.ERROR)
            cause = NOTES.get(message.text(b"warning-word"), 0)
            await self._word(AttemptOver(attempt, outcome, cause))
        else:
            self._count("servers.late_answers")

    def _stand(self, call: str, number: bytes) -> None:
        self._standing[call] = Dialog(number, time.time())
        if len(self._standing) > DIALOGS:
            self._standing.popitem(last=False)

    def _say(self, data: bytes) -> None:
        if not self.outbox.put(data):
            self._count("servers.too_slow")
            self._drop()

    async def _write(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        while True:
            await self.outbox.wait()
            items = self.outbox.clear()
            parts = [(item, data) for item in items if (data := await self._bytes(item)) is not None]
            failed = False
            try:
                with anyio.fail_after(SEND_TIMEOUT):
                    await stream.send(b"".join(data for _, data in parts))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                failed = True
            for item, _ in parts:
                if isinstance(
                    item, Cancel
                ):  # if its bytes did not go, the end of the connection does as well
                    await self._word(AttemptOver(item.attempt, i.Outcome.CANCELLED))
                elif isinstance(item, Bye) and failed:
                    self._keep(item)
            if failed:
                scope.cancel()
                return

    async def _bytes(self, item: Item) -> bytes | None:
        """What goes out for an order at this moment, if it still goes."""
        if isinstance(item, bytes):
            return item
        if isinstance(item, Bye):
            if dialog := self._standing.pop(item.call, None):
                item.number = dialog.number
            if not item.number:
                return None  # it ended meanwhile
            self._count("servers.sent_bye")
            return sip.bye(item.number, item.call, CSEQ + 1, 16)
        now = time.time()
        if isinstance(item, Cancel):
            attempt = item.attempt
            if self.open.get(attempt.call) is not attempt:  # answered, or gone with its connection
                await self._word(AttemptOver(attempt, i.Outcome.CANCELLED))
                return None
            del self.open[attempt.call]
            number = self._crossing[attempt.call] = _request(attempt).number
            if len(self._crossing) > DIALOGS:
                self._crossing.popitem(last=False)
            self._count("servers.sent_cancel")
            return sip.request("CANCEL", number, attempt.call, CSEQ)
        if not item.may_leave(now):
            if not item.ended:
                await self._word(AttemptOver(item, i.Outcome.MOOT))
            return None
        request = _request(item)
        item.sent = now
        self.open[item.call] = item
        self._count("servers.sent_invite")
        left = max(1, round((item.deadline - now) * 1000))
        return sip.invite(request.number, item.call, CSEQ, request.class_name, left, request.description)

    async def _word(self, word: Word) -> None:
        await self._port.inbox.put(word)


def _request(attempt: Attempt) -> Request:
    assert isinstance(attempt.request, Request)
    return attempt.request
