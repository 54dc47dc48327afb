"""One connection to a setup server, from connecting to its end; it is not reused.

Owns its stream, the orders queued for it and the set-ups open on it, which are given up with it. Reports
what it receives to its connection pool and to the core."""

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

from harepick import interface
from harepick.core.messages import Answered, Attempt, AttemptOver, CallOver, ControllerEvent, Message
from harepick.net import sip
from harepick.net.outbox import Outbox
from harepick.net.setups import Request
from harepick.net.standing_calls import Dialog

if TYPE_CHECKING:
    from harepick.net.connection_pool import ConnectionPool

# `AttemptEnded.cause` for the controller, by the Warning-Word header of a refusal.
CAUSE_BY_WARNING = {
    "group_full": 1,
    "tandem_refused": 2,
    "processor_full": 3,
    "user_busy": 4,
    "destination_full": 18,
}
OUTCOME_BY_STATUS = {
    503: interface.Outcome.FULL,
    486: interface.Outcome.ERROR,
    500: interface.Outcome.ERROR,
    480: interface.Outcome.MOOT,
    504: interface.Outcome.RESET,
}
INVITE_CSEQ = 1  # of every INVITE; a BYE has the next number
CAUSE_CUT = 41  # Q.850 cause in the BYE of a call that was cut; 16 is normal clearing
SEND_TIMEOUT_S = 2.0  # a server that reads nothing for this long has its connection closed
# Errors that tell of a lack of resources in this process or machine.
LOCAL_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
MAX_UNCONFIRMED_RELEASES = 1_024  # releases whose confirmation may still come
# A release on a connection that has been silent for this long since is sent again on another one. At a busy
# server the confirmation waits behind set-ups.
RELEASE_REPEAT_S = 5.0
MAX_CANCELLED = 4_096  # cancelled set-ups whose answer may still come
PARTIAL_MESSAGE_TIMEOUT_S = 0.25  # a message not completed in this time is considered truncated
QUIET_AFTER_S = 0.25  # with a set-up open, silence for this long may mean that the connection is dead
# From decision to send; after a longer delay the sockets are read first, because no attempt may be sent 0.1 s
# after its client left.
MAX_SEND_DELAY_S = 0.02
EVENT_LOOP_TURNS = 3  # enough to poll the sockets, run their readers and mark callers as gone
# A quiet connection is dead if a set-up sent this much later than its oldest open one has been answered.
MIN_OVERTAKING_S = 0.1


@dataclass(slots=True)
class CancelOrder:
    """Order to cancel an attempt that was sent."""

    attempt: Attempt


@dataclass(slots=True)
class ByeOrder:
    """Order to release a call that stands."""

    call: str
    # Number called, kept from the dialog when the BYE is first encoded: it may have to be sent again on
    # another connection.
    number: bytes = b""
    sent_at: float = 0.0  # when it was last sent, clock time in seconds
    repeated: bool = False  # it is sent twice at most


# What is queued for the connection; bytes are responses and acknowledgements.
Order = Attempt | CancelOrder | ByeOrder | bytes


class ServerConnection:
    """One connection of a pool; times are clock times in seconds."""

    def __init__(self, pool: ConnectionPool, orders: Iterable[Order] = ()) -> None:
        self._pool = pool
        self._add_to_counter = pool.owner.counters.add
        self.outbox: Outbox[Order] = Outbox()
        self.open_attempts: dict[str, Attempt] = {}  # oldest first
        self._unconfirmed_releases: OrderedDict[str, ByeOrder] = OrderedDict()  # oldest first
        self._cancelled: OrderedDict[str, bytes] = OrderedDict()  # call -> number called
        self.created_at = time.time()
        self.connected = False
        self.received_data = False
        self.closed_by_server = False  # after everything that the server had sent here was received
        self.failed_locally = False  # for lack of local resources; the server may be alive
        self.last_heard = 0.0  # when it last received anything, or was opened
        self.scope = anyio.CancelScope()
        for order in orders:
            self.outbox.put(order)

    @property
    def load(self) -> int:
        """Set-ups open here and orders queued."""
        return len(self.open_attempts) + len(self.outbox)

    @property
    def idle(self) -> bool:
        """Whether it is open, and neither an order nor a set-up is open or queued here."""
        return self.connected and not self.load and not self.outbox.in_flight

    @property
    def unused(self) -> bool:
        """Whether it can be closed without loss.

        A server reports the end of a call on the connection of its set-up; a report in transit when that
        connection is closed is lost."""
        return self.idle and not self._unconfirmed_releases and not self._pool.standing.count_on(self)

    def is_quiet(self, now: float) -> bool:
        """Whether a set-up is open and nothing was received for QUIET_AFTER_S: the server is slow, or the
        connection is dead."""
        first = next(iter(self.open_attempts.values()), None)
        return first is not None and now - max(self.last_heard, first.sent or 0.0) > QUIET_AFTER_S

    def is_dead(self, now: float, latest_answered_sent_at: float) -> bool:
        """Whether the server has answered later set-ups but not the oldest one open here.

        Servers handle set-ups in order. `latest_answered_sent_at` is the send time of the latest set-up that
        the server has answered on any connection."""
        first = next(iter(self.open_attempts.values()), None)
        return (
            first is not None
            and self.is_quiet(now)
            and (first.sent or now) + MIN_OVERTAKING_S < latest_answered_sent_at
        )

    def take_unconfirmed_releases(self, sent_before: float) -> list[ByeOrder]:
        """Removes and returns the releases sent before this time that the server may not have received.

        Confirmations are optional, so anything received a moment after a release was sent confirms it as
        well. A release that was repeated is not returned again."""
        unconfirmed = []
        while self._unconfirmed_releases:
            release = next(iter(self._unconfirmed_releases.values()))
            if release.sent_at > sent_before:
                break
            del self._unconfirmed_releases[release.call]
            if self.last_heard < release.sent_at + QUIET_AFTER_S and not release.repeated:
                unconfirmed.append(release)
        return unconfirmed

    def close(self, reason: str) -> None:
        """Closes the connection and counts it under `reason`."""
        self._add_to_counter(f"servers.{reason}")
        self.scope.cancel()

    async def run(self) -> None:
        """Connects and serves until the end; contains any fault to this connection."""
        try:
            with self.scope:
                if stream := await self._connect():
                    await self._serve(stream)
        except Exception as error:
            self._add_to_counter("servers.faults")
            self._pool.owner.log.event("fault", where=self._pool.server, error=repr(error))
        finally:
            self._pool.connection_ended(self)

    async def _connect(self) -> SocketStream | None:
        """Connects; returns None after a failure, which is logged."""
        address = self._pool.address
        try:
            with anyio.fail_after(self._pool.owner.connect_timeout):
                stream = await anyio.connect_tcp(address.host, address.port)
        except (OSError, TimeoutError) as error:
            self._add_to_counter("servers.unreached")
            name = type(error).__name__
            self._pool.owner.log.event("unreached", server=self._pool.server, error=name)
            os_error = error.__cause__ or error  # anyio wraps the system's error
            self.failed_locally = isinstance(os_error, OSError) and os_error.errno in LOCAL_RESOURCE_ERRORS
            return None
        self.connected = True
        self.last_heard = time.time()
        self._add_to_counter("servers.connections")
        self._pool.connection_opened(self)
        return stream

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, stream, tasks.cancel_scope)
                await self._read(stream)
                tasks.cancel_scope.cancel()
        finally:  # also on cancellation: a descriptor must not wait for garbage collection
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self._add_to_counter("servers.closed")

    # Receiving

    async def _read(self, stream: SocketStream) -> None:
        """Reads until the connection ends or a message is malformed."""
        decoder = sip.Decoder()
        partial_since: float | None = None  # when the first byte of an incomplete message came
        half_time_elapsed = False  # half the time for the rest of that message has passed
        while True:
            limit = self._pool.owner.idle_close if partial_since is None else PARTIAL_MESSAGE_TIMEOUT_S / 2
            try:
                with anyio.move_on_after(limit) as scope:
                    data = await stream.receive()
                if scope.cancelled_caught:
                    busy = self.load or self.outbox.in_flight or self._pool.standing
                    if partial_since is None and not busy:
                        return
                    # Only the second wait in a row ends the connection: one may be a pause of this process.
                    if partial_since is not None and half_time_elapsed:
                        raise sip.SipError("message was not completed in time")
                    half_time_elapsed = True
                    continue
                self.last_heard = time.time()
                half_time_elapsed, self.received_data = False, True
                count = 0
                for message in decoder.feed(data):
                    count += 1
                    await self._handle_message(message)
                await self._pool.owner.inbox.wait_for_space()
                if not decoder.pending:
                    partial_since = None
                elif count or partial_since is None:
                    partial_since = self.last_heard
                elif self.last_heard - partial_since > 2 * PARTIAL_MESSAGE_TIMEOUT_S:
                    raise sip.SipError("message takes too long to complete")
            except anyio.EndOfStream:
                self.closed_by_server = not decoder.pending
                return
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            except sip.SipError as error:
                self._add_to_counter("servers.malformed")
                self._pool.owner.log.event("malformed", server=self._pool.server, error=str(error))
                return

    async def _handle_message(self, message: sip.Message) -> None:
        # A refusal does not show that the server is alive: an intermediary may have sent it.
        if message.status < 300:
            self._pool.last_heard = self.last_heard
        if message.status:
            if message.method == "INVITE" and message.status >= 200:
                self._handle_final_response(message)
            elif message.method == "BYE":
                self._unconfirmed_releases.pop(message.call, None)
            return
        match message.method:
            case "BYE":
                self._add_to_counter("servers.releases")
                self._enqueue(sip.response(message, 200, b"OK"))
                self._pool.standing.end(message.call)
                self._report(
                    CallOver(message.call, self._pool.server, sip.release_cause(message) == CAUSE_CUT)
                )
            case "NOTIFY":
                self._add_to_counter("servers.notifies")
                if report := sip.parse_load(message):
                    await self._pool.owner.inbox.put(
                        ControllerEvent(
                            interface.Probed(self._pool.server, interface.Outcome.OK, 0.0, report)
                        )
                    )
            case "OPTIONS":
                self._enqueue(sip.response(message, 200, b"OK"))
            case "ACK":
                pass
            case _:
                self._add_to_counter("servers.unknown")
                self._enqueue(sip.response(message, 501, b"Not Implemented"))

    def _handle_final_response(self, message: sip.Message) -> None:
        """Handles a final response to an INVITE; it is acknowledged even if it comes too late.

        Responses are matched by Call-ID and method alone: servers answer `CSeq: 1 INVITE` to every INVITE, so
        the sequence number does not identify the attempt.

        - A response with an unknown Call-ID is only counted.
        - A 487 confirms a cancel; its set-up is no longer open.
        - An answer makes the call stand; a repeated one is only counted.
        - A refusal ends the attempt, unless that has ended already."""
        call, standing = message.call, self._pool.standing
        if call in self.open_attempts and message.status != 487:
            number = request_of(self.open_attempts[call]).number
        elif call in self._cancelled:
            number = self._cancelled.pop(call)
        elif dialog := standing.get(call):
            number = dialog.number
        else:
            self._add_to_counter("servers.unknown_answers")
            return
        if message.status < 300 and not message.body:
            raise sip.SipError("answer has no session description")
        self._enqueue(sip.request("ACK", number, call, INVITE_CSEQ))
        if message.status == 487:
            self._add_to_counter("servers.cancels_heard")
            return
        attempt = self.open_attempts.pop(call, None)
        if message.status < 300:
            if attempt is None and standing.get(call):
                self._add_to_counter("servers.copies")
                return
            # Not for a refusal, which may overtake the set-ups queued at the server.
            if attempt is not None:
                self._pool.latest_answered_sent_at = max(
                    self._pool.latest_answered_sent_at, attempt.sent or 0.0
                )
            self._add_to_counter("servers.answers")
            standing.add(call, Dialog(number, time.time(), self))
            attempt_number = -1 if attempt is None else attempt.number
            self._report(Answered(call, attempt_number, self._pool.server, message.body))
        elif attempt is not None:
            self._add_to_counter(f"servers.status_{message.status}")
            outcome = OUTCOME_BY_STATUS.get(message.status, interface.Outcome.ERROR)
            cause = CAUSE_BY_WARNING.get(message.text(b"warning-word"), 0)
            self._report(AttemptOver(attempt, outcome, cause))
        else:
            self._add_to_counter("servers.late_answers")

    # Sending

    def _enqueue(self, data: bytes) -> None:
        if not self.outbox.put(data):
            self.close("too_slow")

    async def _write(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        """Writes queued orders. Those in flight when the connection ends, even in the middle of a write,
        are passed on by the pool."""
        while True:
            await self.outbox.wait()
            await self._let_readers_run()
            orders = self.outbox.take()
            # No other task may run between the check in `_encode` and the write: `send` writes before it
            # suspends, unless its buffer is full.
            parts = [(order, data) for order in orders if (data := self._encode(order)) is not None]
            try:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await stream.send(b"".join(data for _, data in parts))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                scope.cancel()
                return
            self.outbox.written()
            # Basis of the metric `upstream_requests_total`: set-ups whose last byte the kernel has taken.
            self._add_to_counter(
                "servers.invites_written", sum(isinstance(order, Attempt) for order, _ in parts)
            )
            for order, _ in parts:
                if isinstance(order, CancelOrder):
                    self._report(AttemptOver(order.attempt, interface.Outcome.CANCELLED))
                elif isinstance(order, ByeOrder):
                    self._remember_release(order)

    async def _let_readers_run(self) -> None:
        """Lets the readers of the other sockets run before a set-up that was delayed is sent.

        After a long turn of the event loop, the disconnect of its caller or of its server may not have been
        read from the socket yet."""
        now = time.time()
        if self.outbox.any(
            lambda order: isinstance(order, Attempt) and now - order.placed_at > MAX_SEND_DELAY_S
        ):
            for _ in range(EVENT_LOOP_TURNS):
                await anyio.lowlevel.checkpoint()

    def _encode(self, order: Order) -> bytes | None:
        """Returns the bytes of an order, or None if it no longer applies."""
        if isinstance(order, bytes):
            return order
        if isinstance(order, ByeOrder):
            if dialog := self._pool.standing.end(order.call):
                order.number = dialog.number
            if not order.number:
                return None  # the call has ended meanwhile
            self._add_to_counter("servers.sent_bye")
            return sip.bye(order.number, order.call, INVITE_CSEQ + 1, 16)  # normal call clearing
        now = time.time()
        if isinstance(order, CancelOrder):
            attempt = order.attempt
            if self.open_attempts.get(attempt.call) is not attempt:  # answered meanwhile
                self._report(AttemptOver(attempt, interface.Outcome.CANCELLED))
                return None
            del self.open_attempts[attempt.call]
            number = self._cancelled[attempt.call] = request_of(attempt).number
            if len(self._cancelled) > MAX_CANCELLED:
                self._cancelled.popitem(last=False)
            self._add_to_counter("servers.sent_cancel")
            return sip.request("CANCEL", number, attempt.call, INVITE_CSEQ)
        if not order.may_send(now):
            if not order.ended:
                self._report(AttemptOver(order, interface.Outcome.MOOT))
            return None
        request = request_of(order)
        order.sent = now
        self.open_attempts[order.call] = order
        self._add_to_counter("servers.sent_invite")
        time_left_ms = max(1, round((order.deadline - now) * 1000))
        return sip.invite(
            request.number, order.call, INVITE_CSEQ, request.class_name, time_left_ms, request.description
        )

    def _remember_release(self, release: ByeOrder) -> None:
        """Keeps a release that was sent until it is confirmed."""
        release.sent_at = time.time()
        self._unconfirmed_releases[release.call] = release
        if len(self._unconfirmed_releases) > MAX_UNCONFIRMED_RELEASES:
            self._unconfirmed_releases.popitem(last=False)

    def _report(self, message: Message) -> None:
        """Puts a message into the core's inbox without waiting.

        The end of the connection could cancel a wait, and the message would be lost. The reader waits for
        space in the inbox before it reads more."""
        self._pool.owner.inbox.put_nowait(message)


def request_of(attempt: Attempt) -> Request:
    """Returns the request of an attempt that this port was given."""
    assert isinstance(attempt.request, Request)
    return attempt.request
