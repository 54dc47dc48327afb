"""One connection to a setup server, from the attempt to open it to its end; it is used once.

Owns its stream, the orders that wait for it and the set-ups open on it: those are given up with it. What it
hears goes to its link and to the core.
"""

from __future__ import annotations

import errno
import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
from anyio.abc import SocketStream

from harepick import interface as i
from harepick.core.messages import Answered, Attempt, AttemptOver, CallOver, ControllerEvent, Message
from harepick.net import sip
from harepick.net.outbox import Outbox
from harepick.net.setups import Request

if TYPE_CHECKING:
    from harepick.net.connection_pool import ConnectionPool

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
OWN_LACK = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
CROSSINGS = 4_096  # set-ups given up whose answer may still come
STALL = 0.25  # a message begun and not finished in this time will not be
QUIET = 0.25  # with a set-up open, a line that says nothing for so long may have gone dead
LAG = 0.02  # between a decision and its bytes; a client that has left is owed no attempt 0.1 s later
TURNS = 3  # of the loop: the sockets are read, their readers run, and what they say is marked
OVERTAKEN = 0.1  # it has, if the server has meanwhile answered what it was sent so much later


@dataclass(slots=True)
class Cancel:
    attempt: Attempt


@dataclass(slots=True)
class Bye:
    call: str
    number: bytes = b""  # once it has left, or tried to: the dialog is over by then


Item = Attempt | Cancel | Bye | bytes


class ServerConnection:
    def __init__(self, link: ConnectionPool, orders: Iterable[Item] = ()) -> None:
        self._link = link
        self._count = link.port.counters.add
        self.outbox: Outbox[Item] = Outbox()
        self.open: dict[str, Attempt] = {}  # oldest first
        self._crossing: OrderedDict[str, bytes] = OrderedDict()  # given up here -> number called
        self.calls = 0  # that were set up here and stand
        self.up = False
        self.spoke = False
        self.starved = False  # it did not come up for a lack of our own, which tells nothing of the server
        self.heard = 0.0  # when it last said anything, or came up
        self.scope = anyio.CancelScope()
        for item in orders:
            self.outbox.put(item)

    @property
    def load(self) -> int:
        return len(self.open) + len(self.outbox)

    @property
    def spare(self) -> bool:
        """Nothing is lost with it. A server says the end of a call on the line of its set-up: what is on its
        way when we close that line never comes."""
        return self.up and not self.load and not self.outbox.in_flight and not self.calls

    def quiet(self, now: float) -> bool:
        """What is open on it has gone without a word for some time: the server is slow, or the line dead."""
        first = next(iter(self.open.values()), None)
        return first is not None and now - max(self.heard, first.sent or 0.0) > QUIET

    def dead(self, now: float, answered: float) -> bool:
        """The server takes set-ups in turn, and answered on other lines what it was sent after these."""
        first = next(iter(self.open.values()), None)
        return first is not None and self.quiet(now) and (first.sent or now) + OVERTAKEN < answered

    def close(self, why: str) -> None:
        self._count(f"servers.{why}")
        self.scope.cancel()

    async def run(self) -> None:
        """No fault of one connection goes further."""
        try:
            with self.scope:
                if stream := await self._connect():
                    await self._serve(stream)
        except Exception as error:
            self._count("servers.faults")
            self._link.port.log.event("fault", where=self._link.server, error=repr(error))
        finally:
            self._link.ended(self)

    async def _connect(self) -> SocketStream | None:
        where = self._link.address
        try:
            with anyio.fail_after(self._link.port.connect_timeout):
                stream = await anyio.connect_tcp(where.host, where.port)
        except (OSError, TimeoutError) as error:
            self._count("servers.unreached")
            name = type(error).__name__
            self._link.port.log.event("unreached", server=self._link.server, error=name)
            said = error.__cause__ or error  # anyio wraps what the system said
            self.starved = isinstance(said, OSError) and said.errno in OWN_LACK
            return None
        self.up = True
        self.heard = time.time()
        self._count("servers.connections")
        self._link.came_up(self)
        return stream

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, stream, tasks.cancel_scope)
                await self._read(stream)
                tasks.cancel_scope.cancel()
        finally:  # also when the link itself is ended: a descriptor must not wait for the collector
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self._count("servers.closed")

    # What is heard

    async def _read(self, stream: SocketStream) -> None:
        """Until the connection ends or is of no more use."""
        decoder = sip.Decoder()
        begun: float | None = None  # of the message that is not yet whole
        late = False  # half the time for the rest of it is over
        while True:
            limit = self._link.port.idle_close if begun is None else STALL / 2
            try:
                with anyio.move_on_after(limit) as scope:
                    data = await stream.receive()
                if scope.cancelled_caught:
                    busy = self.load or self.outbox.in_flight or self._link.standing
                    if begun is None and not busy:
                        return
                    if begun is not None and late:  # looked at twice: not our own delay
                        raise sip.SipError("a message that stops short")
                    late = True
                    continue
                self.heard = time.time()
                late, self.spoke = False, True
                count = 0
                for message in decoder.feed(data):
                    count += 1
                    await self._take(message)
                await self._link.port.inbox.wait_for_space()
                if not decoder.pending:
                    begun = None
                elif count or begun is None:
                    begun = self.heard
                elif self.heard - begun > 2 * STALL:
                    raise sip.SipError("a message that does not end")
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            except sip.SipError as error:
                self._count("servers.malformed")
                self._link.port.log.event("malformed", server=self._link.server, error=str(error))
                return

    async def _take(self, message: sip.Message) -> None:
        # A refusal is no sign of life: it may come from something in front of a machine that has vanished.
        if message.status < 300:
            self._link.heard = self.heard
        if message.status:
            if message.method == "INVITE" and message.status >= 200:
                self._answer(message)
            return
        match message.method:
            case "BYE":
                self._count("servers.releases")
                self._say(sip.response(message, 200, b"OK"))
                self._link.over(message.call)
                self._tell(CallOver(message.call, self._link.server, sip.cause(message) == CUT))
            case "NOTIFY":
                self._count("servers.notifies")
                if report := sip.load(message):
                    await self._link.port.inbox.put(
                        ControllerEvent(i.Probed(self._link.server, i.Outcome.OK, 0.0, report))
                    )
            case "OPTIONS":
                self._say(sip.response(message, 200, b"OK"))
            case "ACK":
                pass
            case _:
                self._count("servers.unknown")
                self._say(sip.response(message, 501, b"Not Implemented"))

    def _answer(self, message: sip.Message) -> None:
        """A final answer to an INVITE: acknowledged if there was one, also if it comes too late.

        Matched by Call-ID and method alone: servers answer `CSeq: 1 INVITE` whatever was asked, so that the
        number tells nothing of the attempt. What was cancelled is no longer open; its 487 ends nothing.
        An answer under an id that nothing was sent for, ahead of a good one, says nothing of that one."""
        call, standing = message.call, self._link.standing
        if call in self.open and message.status != 487:
            number = request_of(self.open[call]).number
        elif call in self._crossing:
            number = self._crossing.pop(call)
        elif call in standing:
            number = standing[call].number
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
            if attempt is None and call in standing:
                self._count("servers.copies")
                return
            if attempt is not None:  # a refusal waits in no line: it tells nothing of those before it
                self._link.answered = max(self._link.answered, attempt.sent or 0.0)
            self._count("servers.answers")
            self._link.stands(call, number, self)
            tried = -1 if attempt is None else attempt.number
            self._tell(Answered(call, tried, self._link.server, message.body))
        elif attempt is not None:
            self._count(f"servers.status_{message.status}")
            outcome = OUTCOMES.get(message.status, i.Outcome.ERROR)
            cause = NOTES.get(message.text(b"warning-word"), 0)
            self._tell(AttemptOver(attempt, outcome, cause))
        else:
            self._count("servers.late_answers")

    # What is said

    def _say(self, data: bytes) -> None:
        if not self.outbox.put(data):
            self.close("too_slow")

    async def _write(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        """What is in hand when the line ends, also in the middle of a write, is the link's to pass on."""
        while True:
            await self.outbox.wait()
            await self._hear_first()
            items = self.outbox.take()
            # No wait from here on until the kernel has the bytes: the last look must be the last.
            parts = [(item, data) for item in items if (data := self._bytes(item)) is not None]
            try:
                with anyio.fail_after(SEND_TIMEOUT):
                    await stream.send(b"".join(data for _, data in parts))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                scope.cancel()
                return
            self.outbox.written()
            # The figure `upstream_requests_total`: set-ups whose last byte the kernel has taken.
            self._count("servers.invites_written", sum(isinstance(item, Attempt) for item, _ in parts))
            for item, _ in parts:
                if isinstance(item, Cancel):
                    self._tell(AttemptOver(item.attempt, i.Outcome.CANCELLED))

    async def _hear_first(self) -> None:
        """After a long turn of the loop, what callers and the bus have said meanwhile is heard before a
        set-up leaves: the end of its caller, or of its server, may lie in a socket that nobody has read."""
        now = time.time()
        if self.outbox.any(lambda item: isinstance(item, Attempt) and now - item.placed > LAG):
            for _ in range(TURNS):
                await anyio.lowlevel.checkpoint()

    def _bytes(self, item: Item) -> bytes | None:
        """What goes out for an order at this moment, if it still goes."""
        if isinstance(item, bytes):
            return item
        if isinstance(item, Bye):
            if dialog := self._link.over(item.call):
                item.number = dialog.number
            if not item.number:
                return None  # it ended meanwhile
            self._count("servers.sent_bye")
            return sip.bye(item.number, item.call, CSEQ + 1, 16)
        now = time.time()
        if isinstance(item, Cancel):
            attempt = item.attempt
            if self.open.get(attempt.call) is not attempt:  # answered meanwhile
                self._tell(AttemptOver(attempt, i.Outcome.CANCELLED))
                return None
            del self.open[attempt.call]
            number = self._crossing[attempt.call] = request_of(attempt).number
            if len(self._crossing) > CROSSINGS:
                self._crossing.popitem(last=False)
            self._count("servers.sent_cancel")
            return sip.request("CANCEL", number, attempt.call, CSEQ)
        if not item.may_send(now):
            if not item.ended:
                self._tell(AttemptOver(item, i.Outcome.MOOT))
            return None
        request = request_of(item)
        item.sent = now
        self.open[item.call] = item
        self._count("servers.sent_invite")
        left = max(1, round((item.deadline - now) * 1000))
        return sip.invite(request.number, item.call, CSEQ, request.class_name, left, request.description)

    def _tell(self, word: Message) -> None:
        """At once: a wait for room in the inbox could be cut by the end of the line, and the word lost. The
        reader waits for room before it takes more."""
        self._link.port.inbox.put_nowait(word)


def request_of(attempt: Attempt) -> Request:
    assert isinstance(attempt.request, Request)
    return attempt.request
