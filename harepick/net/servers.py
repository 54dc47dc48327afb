"""Connections to setup servers: one for each server, opened when there is something to send.

Owns the links, their open set-ups and the matching of answers. It decides nothing: whether a set-up may
still leave is asked of the core right before its bytes go.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus

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
DIALOGS = 16_384  # numbers called kept for the releases to come
UNSENT = 1_024  # releases kept for the next connection
SILENCE = 2.0  # with calls on it, a connection that brings nothing for so long may lead nowhere any more
LOOK = 0.25  # how often that is looked at


@dataclass(slots=True)
class Cancel:
    attempt: Attempt


@dataclass(slots=True)
class Bye:
    call: str


Item = Attempt | Cancel | Bye | bytes


class Servers:
    """The core's port: hands every order to the link of its server."""

    def __init__(
        self,
        directory: Directory,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        connect_timeout: float,
        idle_close: float,
    ) -> None:
        self.directory = directory
        self.inbox = inbox
        self.counters = counters
        self.log = log
        self.connect_timeout = connect_timeout
        self.idle_close = idle_close
        self._links: dict[str, Link] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Holds the links' tasks; a link that fails ends the program with its cause."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    @property
    def unwritten(self) -> int:
        return sum(link.backlog for link in self._links.values())

    def place(self, attempt: Attempt) -> i.Outcome | None:
        link = self._link(attempt.server)
        if link is None:
            return i.Outcome.UNREACHED
        return None if link.outbox.put(attempt) else i.Outcome.MOOT

    def cancel(self, attempt: Attempt) -> bool:
        link = self._links.get(attempt.server)
        if link is None or attempt.sent is None or link.open.get(attempt.call) is not attempt:
            return True  # it never left, or its connection took it along
        return not link.outbox.put(Cancel(attempt))

    def release(self, server: str, call: str) -> None:
        link = self._link(server)
        if link is None or not link.outbox.put(Bye(call)):
            self.counters.add("servers.releases_lost")

    def listed(self, event: i.ServerList) -> None:
        """Follows the list: a server that has started anew, or gone, no longer holds its old connection."""
        for row in event.entries:
            if link := self._links.get(row.server):
                link.listed(row, self.directory)
        for server, link in list(self._links.items()):  # also those that were busy when their server went
            if link.retired and link.idle:
                link.scope.cancel()
                del self._links[server]

    def _link(self, server: str) -> Link | None:
        if link := self._links.get(server):
            return link
        row = self.directory.get(server)
        if row is None or self._tasks is None:
            return None
        link = self._links[server] = Link(self, server, row.address)
        self._tasks.start_soon(link.run)
        return link


class Link:
    """One server's connection, and the set-ups open on it."""

    def __init__(self, port: Servers, server: str, where: Address) -> None:
        self._port = port
        self._count = port.counters.add
        self._server = server
        self._address = where
        self.outbox: Outbox[Item] = Outbox()
        self.open: dict[str, Attempt] = {}
        self._dialogs: OrderedDict[str, bytes] = OrderedDict()  # call -> number called
        self._unsent: list[Bye] = []
        self._connected = 0.0
        self._heard = 0.0  # when anything last came from the server
        self._second: SocketStream | None = None
        self._connection: anyio.CancelScope | None = None
        self._vanished = False
        self.retired = False
        self.scope = anyio.CancelScope()

    @property
    def idle(self) -> bool:
        return not self.open and not len(self.outbox)

    @property
    def backlog(self) -> int:
        return len(self.outbox) if self._connection else 0

    def listed(self, row: i.ServerEntry, directory: Directory) -> None:
        known = directory.get(row.server)
        if known and known.address != self._address:
            self._address = known.address
            self._drop()
        elif row.started > self._connected > 0:
            self._drop()  # half open: the process behind it is another one
        self.retired = row.state == "gone"

    def _drop(self) -> None:
        if self._connection:
            self._connection.cancel()

    async def run(self) -> None:
        with self.scope:
            while True:
                await self.outbox.wait()
                stream = await self._connect()
                if stream is None:
                    await self._unreached()
                else:
                    await self._serve(stream)

    async def _connect(self) -> SocketStream | None:
        try:
            with anyio.fail_after(self._port.connect_timeout):
                stream = await anyio.connect_tcp(self._address.host, self._address.port)
        except (OSError, TimeoutError) as error:
            self._count("servers.unreached")
            self._port.log.event("unreached", server=self._server, error=type(error).__name__)
            return None
        self._connected = self._heard = time.time()
        self._count("servers.connections")
        for bye in self._unsent:
            self.outbox.put(bye)
        self._unsent.clear()
        return stream

    async def _unreached(self) -> None:
        for item in self.outbox.clear():
            if isinstance(item, Attempt):
                await self._word(AttemptOver(item, i.Outcome.UNREACHED))
            elif isinstance(item, Cancel):
                await self._word(AttemptOver(item.attempt, i.Outcome.CANCELLED))
            elif isinstance(item, Bye) and len(self._unsent) < UNSENT:
                self._unsent.append(item)

    async def _serve(self, stream: SocketStream) -> None:
        """One connection to its end; what was open on it is given up with it."""
        died = self._vanished = False
        try:
            with anyio.CancelScope() as self._connection:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream, tasks.cancel_scope)
                    tasks.start_soon(self._watch, tasks)
                    died = await self._read(stream)
                    tasks.cancel_scope.cancel()
        finally:  # also when the link itself is ended: a descriptor must not wait for the collector
            self._connection = None
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
        died = died or self._vanished
        now = time.time()
        self._count("servers.died" if died else "servers.closed")
        self._port.log.event("closed", server=self._server, died=died, open=len(self.open))
        given_up, self.open = self.open, {}
        for call in list(self._dialogs if died else given_up):
            self._dialogs.pop(call, None)
        for attempt in given_up.values():
            await self._word(AttemptOver(attempt, i.Outcome.RESET))
        if died:  # when a process dies, its connections are reset and its calls are cut
            await self._word(ServerDied(self._server, now))

    async def _watch(self, tasks: TaskGroup) -> None:
        """Guards against a half-open connection: a machine that has vanished says nothing, resets nothing
        and takes no new connection. Its calls are over, and their callers must be told within 8 s.

        A silent server is connected to once more. If that fails, the old connection is given up; if it
        comes up, the server lives, and what it has to say may come on either."""
        while True:
            await anyio.sleep(LOOK)
            if not self._dialogs or time.time() - self._heard < SILENCE or self._second:
                continue
            try:
                with anyio.fail_after(self._port.connect_timeout):
                    stream = await anyio.connect_tcp(self._address.host, self._address.port)
            except (OSError, TimeoutError):
                self._count("servers.vanished")
                self._vanished = True
                self._drop()
                return
            self._count("servers.second_connections")
            self._heard = time.time()
            tasks.start_soon(self._read_second, stream)

    async def _read_second(self, stream: SocketStream) -> None:
        self._second = stream
        try:
            async with stream:
                await self._read(stream)
        finally:
            self._second = None

    async def _read(self, stream: SocketStream) -> bool:
        """Until the connection ends; True if it was reset."""
        decoder = sip.Decoder()
        while True:
            try:
                with anyio.move_on_after(self._port.idle_close) as scope:
                    messages = decoder.feed(await stream.receive())
                if scope.cancelled_caught:
                    if self.idle:
                        return False
                    continue
            except anyio.EndOfStream:
                return False
            except anyio.BrokenResourceError:
                return True
            except sip.SipError as error:
                self._count("servers.malformed")
                self._port.log.event("malformed", server=self._server, error=str(error))
                return False
            self._heard = time.time()
            for message in messages:
                await self._take(message)

    async def _take(self, message: sip.Message) -> None:
        if message.status:
            if message.method == "INVITE" and message.status >= 200:
                await self._answer(message)
            return
        match message.method:
            case "BYE":
                self._count("servers.releases")
                self._say(sip.response(message, 200, b"OK"))
                self._dialogs.pop(message.call, None)
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
        """A final answer to an INVITE: every one is acknowledged, also one that comes too late.

        Matched by Call-ID and method alone: servers answer `CSeq: 1 INVITE` whatever was asked, so that the
        number tells nothing of the attempt. What was cancelled is no longer open; its 487 ends nothing."""
        call = message.call
        number = self._dialogs.get(call, call.encode("latin-1"))
        self._say(sip.request("ACK", number, call, CSEQ))
        if message.status == 487:
            self._count("servers.cancels_heard")
            return
        attempt = self.open.pop(call, None)
        if message.status < 300:
            self._count("servers.answers")
            tried = -1 if attempt is None else attempt.number
            await self._word(Answered(call, tried, self._server, message.body))
        elif attempt is not None:
            self._count(f"servers.status_{message.status}")
            self._dialogs.pop(call, None)
            outcome = OUTCOMES.get(message.status, i.Outcome.ERROR)
            cause = NOTES.get(message.text(b"warning-word"), 0)
            await self._word(AttemptOver(attempt, outcome, cause))
        else:
            self._count("servers.late_answers")

    def _say(self, data: bytes) -> None:
        if not self.outbox.put(data):
            self._count("servers.too_slow")
            self._drop()

    async def _write(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        while True:
            await self.outbox.wait()
            items = self.outbox.clear()
            parts = [(item, data) for item in items if (data := await self._bytes(item)) is not None]
            try:
                with anyio.fail_after(SEND_TIMEOUT):
                    await stream.send(b"".join(data for _, data in parts))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                byes = [item for item, _ in parts if isinstance(item, Bye)]
                self._unsent += byes[: max(0, UNSENT - len(self._unsent))]
                scope.cancel()
                return
            for item, _ in parts:
                if isinstance(item, Cancel):
                    await self._word(AttemptOver(item.attempt, i.Outcome.CANCELLED))

    async def _bytes(self, item: Item) -> bytes | None:
        """What goes out for an order at this moment, if it still goes."""
        if isinstance(item, bytes):
            return item
        if isinstance(item, Bye):
            self._count("servers.sent_bye")
            number = self._dialogs.pop(item.call, item.call.encode())
            return sip.bye(number, item.call, CSEQ + 1, 16)
        now = time.time()
        if isinstance(item, Cancel):
            attempt = item.attempt
            if self.open.get(attempt.call) is not attempt:  # answered, or gone with its connection
                await self._word(AttemptOver(attempt, i.Outcome.CANCELLED))
                return None
            del self.open[attempt.call]
            self._dialogs.pop(attempt.call, None)
            self._count("servers.sent_cancel")
            # Named by the attempt, not by the dialog: a release may have dropped that one meanwhile.
            number = _request(attempt).number
            return sip.request("CANCEL", number, attempt.call, CSEQ)
        if not item.may_leave(now):
            if not item.ended:
                await self._word(AttemptOver(item, i.Outcome.MOOT))
            return None
        request = _request(item)
        item.sent = now
        self.open[item.call] = item
        self._dialogs[item.call] = request.number
        self._dialogs.move_to_end(item.call)
        if len(self._dialogs) > DIALOGS:
            self._dialogs.popitem(last=False)
        self._count("servers.sent_invite")
        left = max(1, round((item.deadline - now) * 1000))
        return sip.invite(request.number, item.call, CSEQ, request.class_name, left, request.description)

    async def _word(self, word: Word) -> None:
        await self._port.inbox.put(word)


def _request(attempt: Attempt) -> Request:
    assert isinstance(attempt.request, Request)
    return attempt.request
