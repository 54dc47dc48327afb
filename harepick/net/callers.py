"""Server side of the callers' connections: receives set-ups and writes their answers.

Owns the caller connections and the releases that wait for one. A standing call belongs to no connection:
its release goes out on the connection of its set-up, else on any open one, else on the next one opened.
`setups.py` validates set-ups; `connection_limits.py` bounds the number and the lifetime of connections."""

from __future__ import annotations

import socket
import time
from collections import deque
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from harepick import interface
from harepick.core.inbox import Inbox
from harepick.core.messages import CallerGone, Offer
from harepick.counters import Counters
from harepick.log import Log
from harepick.net import binary
from harepick.net.connection_limits import CallerConnection, CallerMessage, ConnectionLimits
from harepick.net.flow_control import pause_reading
from harepick.net.read_ahead import DISCONNECTED, ReadAhead, ReadAheadBudget
from harepick.net.setups import InvalidSetUpError, SetUpParser
from harepick.net.steering import detach_filter, steer_away

# Q.850 causes in releases; 41, temporary failure, stands for a cut call and for a failed set-up.
CAUSE_NORMAL, CAUSE_RESET, CAUSE_CONGESTION, CAUSE_FAILURE = 16, 41, 42, 41
RETRY_CAUSES = (34, 42, 102)  # a release with one of these is a refusal: the caller may safely retry
CAUSE_UNKNOWN_TYPE = 97  # Q.850: message type not implemented
SEND_TIMEOUT_S = 5.0  # a caller that reads nothing for this long is disconnected
MAX_PENDING_RELEASES = 4_096  # releases kept for the next connection
MAX_INVALID_MESSAGES = 16  # per connection; a client that repeats them is disconnected
# Within this time the handshakes complete that began before new connections were directed to the successor.
HANDSHAKE_SETTLE_S = 0.05
MAX_UNCOUNTED_CONNECTIONS = 4  # accepted sockets that `ConnectionLimits` does not count yet
DISCARD_INTERVAL_S = 0.01  # between reads of input that is discarded
MESSAGES_PER_TURN = 8  # handled before other tasks run: a flood must not block the event loop for 0.1 s


@dataclass(eq=False, slots=True)
class BinaryCaller:
    """The caller of one call, as the core sees it."""

    callers: Callers
    connection: CallerConnection
    call: bytes
    class_name: str  # name of the call class, for the counters
    gone: bool = False

    def established(self, description: bytes) -> None:
        """Sends the answer: the call stands."""
        message = CallerMessage(self.call, binary.encode_answer(self.call, description), "answer")
        self.callers.write(self.connection, message, self.class_name, "completed")

    def refused(self, retry_after: float) -> None:
        """Sends a refusal, with the time after which to retry, in seconds, if positive."""
        retry_after_ms = round(retry_after * 1000) if retry_after > 0 else None
        encoded = binary.encode_release(self.call, CAUSE_CONGESTION, retry_after_ms)
        self.callers.write(
            self.connection, CallerMessage(self.call, encoded, "final"), self.class_name, "rejected"
        )

    def failed(self) -> None:
        """Sends the final answer that the call has failed."""
        message = CallerMessage(self.call, binary.encode_release(self.call, CAUSE_FAILURE), "final")
        self.callers.write(self.connection, message, self.class_name, "failed")

    def ended(self, *, cut: bool) -> None:
        """Sends the release of a standing call."""
        encoded = binary.encode_release(self.call, CAUSE_RESET if cut else CAUSE_NORMAL)
        self.callers.release(self.connection, CallerMessage(self.call, encoded, "release"))

    def duplicate_id(self) -> None:
        """Closes the connection: a release names a call by its id, which both calls have."""
        if self.connection.open_set_ups.get(self.call) is self:
            del self.connection.open_set_ups[self.call]  # the close must not give up the other call
        self.callers.close_when_answered(self.connection)


async def _stop_accepting_on(event: anyio.Event, scope: anyio.CancelScope, raw: socket.socket) -> None:
    """Cancels `scope` on `event`, after directing new connections to a successor if there is one."""
    await event.wait()
    if steer_away(raw):
        await anyio.sleep(HANDSHAKE_SETTLE_S)
    scope.cancel()


def _close_listener(raw: socket.socket) -> list[socket.socket]:
    """Accepts what is queued on a listening socket, closes the socket and returns the accepted ones.

    Nothing may run between the last accept and the close: the kernel would reset a connection that it
    queues in between. With SO_REUSEPORT, later connections go to the other listeners on the address."""
    raw.setblocking(False)
    queued = []
    while True:
        try:
            sock, _ = raw.accept()
        except OSError:  # the queue is empty, or no descriptor is left
            break
        queued.append(sock)
    raw.close()
    return queued


class Callers:
    """Serves the connections of all callers."""

    def __init__(
        self,
        classes: tuple[interface.CallClass, ...],
        inbox: Inbox,
        counters: Counters,
        log: Log,
        max_connections: int,
    ) -> None:
        self._set_up_parser = SetUpParser(classes)
        self._inbox = inbox
        self._counters = counters
        self._log = log
        self._limits = ConnectionLimits(max_connections, counters)
        self._pending_releases: deque[CallerMessage] = deque(maxlen=MAX_PENDING_RELEASES)
        self._uncounted_connections = 0
        self._read_ahead_budget = ReadAheadBudget()

    def replace_classes(self, classes: tuple[interface.CallClass, ...]) -> None:
        """Uses the call classes of reloaded settings."""
        self._set_up_parser.replace_classes(classes, time.time())

    @property
    def pending_writes(self) -> int:
        """Messages to callers that are not known to be written."""
        return sum(len(c.outbox) + c.outbox.in_flight for c in self._limits.connections)

    @property
    def receiving(self) -> bool:
        """Whether some connection is new and has sent nothing yet, or has sent an incomplete message (the
        time limits on connections end both), or messages that are not handled yet."""
        return any(
            connection.awaiting_message or connection.handling for connection in self._limits.connections
        )

    async def listen(self, listener: SocketListener, closing: anyio.Event) -> None:
        """Accepts connections until `closing`, then closes the listener and goes on serving those it has.

        Neither a connection that is reset before it is accepted nor a lack of descriptors ends the loop.
        There is no await between the kernel's accept and the start of the task that owns the connection: a
        cancellation there, as by `closing`, would drop a connection that its client sees as open."""
        raw: socket.socket = listener.extra(SocketAttribute.raw_socket)
        raw.setblocking(False)
        detach_filter(raw)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._limits.watch)
            with anyio.CancelScope() as accepting:
                tasks.start_soon(_stop_accepting_on, closing, accepting, raw)
                while True:
                    await anyio.wait_readable(raw)
                    try:
                        while self._uncounted_connections < MAX_UNCOUNTED_CONNECTIONS:
                            sock, _peer = raw.accept()
                            self._uncounted_connections += 1
                            tasks.start_soon(self._serve_accepted, sock)
                        await anyio.lowlevel.checkpoint()
                    except (BlockingIOError, ConnectionAbortedError):
                        continue
                    except OSError as error:
                        self._counters.add("callers.not_accepted")
                        self._log.event("not_accepted", error=error.strerror)
                        self._limits.evict_one()
                        await anyio.sleep(0.02)
            for sock in _close_listener(raw):
                self._uncounted_connections += 1
                tasks.start_soon(self._serve_accepted, sock)
            self._log.event("not_listening", taken=self._counters["callers.connections"])

    async def _serve_accepted(self, sock: socket.socket) -> None:
        """Serves an accepted socket, whose client may have reset it already."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = await SocketStream.from_socket(sock)
            pause_reading(stream)
        except (OSError, ValueError):  # anyio raises ValueError for a socket that is no longer connected
            self._counters.add("callers.not_accepted")
            sock.close()
            return
        finally:
            self._uncounted_connections -= 1
        await self.serve(stream)

    async def serve(self, stream: SocketStream) -> None:
        """Serves one connection from its acceptance to its end; contains any fault to it."""
        now = time.time()
        connection = CallerConnection(stream, now, opened_at=now)
        incoming = ReadAhead(stream, self._read_ahead_budget, connection.mark_client_gone)
        if not self._limits.add(connection):
            await anyio.aclose_forcefully(stream)
            return
        self._counters.add("callers.connections")
        try:
            with connection.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, connection)
                    try:
                        await self._read(connection, incoming, tasks)
                        await self._discard_until_answered(connection, incoming)
                    except DISCONNECTED:
                        pass  # no answer is owed
                    finally:
                        connection.mark_client_gone()
                    tasks.cancel_scope.cancel()
        except Exception as error:
            self._counters.add("callers.faults")
            self._log.event("fault", where="caller", error=repr(error))
        finally:
            self._limits.remove(connection)
            incoming.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self._on_connection_ended(connection)

    def _on_connection_ended(self, connection: CallerConnection) -> None:
        """Gives up the open set-ups of a connection that has ended; sends releases not yet written on another
        one."""
        for message in connection.outbox.clear():
            if message.kind == "answer" and message.caller:
                connection.open_set_ups[message.call] = message.caller
            elif message.kind == "release":
                self.release(connection, message)
        connection.mark_client_gone()
        for call, caller in connection.open_set_ups.items():
            self._inbox.put_nowait(CallerGone(call.hex(), caller))

    async def _read(self, connection: CallerConnection, incoming: ReadAhead, tasks: TaskGroup) -> None:
        """Handles what the client sends, until that is malformed or invalid too often, or reuses an open id.

        Raises an exception of anyio's streams if the client disconnects."""
        decoder = binary.Decoder()
        while True:
            data = await incoming.receive()
            now, message_count = time.time(), 0
            connection.handling = True
            try:
                for message in decoder.feed(data):
                    if connection.closing:
                        return
                    await self._handle_message(connection, message, now)
                    message_count += 1
                    if message_count % MESSAGES_PER_TURN == 0:
                        incoming.start(tasks)  # this takes longer: its client may leave meanwhile
                        await anyio.lowlevel.checkpoint()
            except binary.BinaryError as error:
                self._counters.add("callers.malformed")
                peer = connection.stream.extra(SocketAttribute.remote_address, None)
                self._log.event("malformed", peer=str(peer), error=str(error))
                return
            if self._exceeds_invalid_limit(connection):
                self._counters.add("callers.too_bad")
                return
            connection.handling = incoming.held > 0
            if not decoder.pending:
                connection.partial_since = None
            elif message_count or connection.partial_since is None:
                connection.partial_since = now  # an incomplete message has begun in this read

    @staticmethod
    def close_when_answered(connection: CallerConnection) -> None:
        """Closes the connection once the set-ups that are open on it are answered; it takes no others."""
        connection.closing = True
        if connection.nothing_pending:
            connection.scope.cancel()

    @staticmethod
    async def _discard_until_answered(connection: CallerConnection, incoming: ReadAhead) -> None:
        """Returns once every set-up that was read has its answer written; nothing more is handled.

        What the client still sends is read and discarded, slowly, so that its disconnect is noticed; raises
        an exception of anyio's streams then."""
        connection.handling = False
        connection.partial_since = None  # no longer subject to the time limit on messages
        while not connection.nothing_pending:
            with anyio.move_on_after(DISCARD_INTERVAL_S):
                await incoming.receive()
            await anyio.sleep(DISCARD_INTERVAL_S)

    @staticmethod
    def _exceeds_invalid_limit(connection: CallerConnection) -> bool:
        """Whether the connection has sent too many invalid messages and is to be closed.

        Not while a set-up is open on it: after a reload drops a class, well-formed set-ups of that class
        count as invalid, and other set-ups on the connection must still be answered."""
        return connection.invalid_messages > MAX_INVALID_MESSAGES and not connection.open_set_ups

    async def _handle_message(
        self, connection: CallerConnection, message: binary.Message, now: float
    ) -> None:
        match message.type:
            case binary.SET_UP:
                await self._handle_set_up(connection, message, now)
            case binary.RELEASE:
                self._counters.add("callers.releases")
                self._mark_as_caller(connection)
                if caller := connection.open_set_ups.pop(message.call, None):
                    caller.gone = True
                self._limits.call_ended(message.call)
                # Not awaited: the end of the connection would cancel the wait and lose the message.
                if caller:
                    self._inbox.put_nowait(CallerGone(message.call.hex(), caller))
                else:
                    await self._inbox.put(CallerGone(message.call.hex(), None))
                confirmation = binary.Message(binary.RELEASE_COMPLETE, message.call).encode()
                self.write(connection, CallerMessage(message.call, confirmation, "free"))
            case binary.TEST:
                self._counters.add("callers.tests")
                result_message = binary.Message(binary.TEST_RESULT, message.call, {binary.CAUSE: b"\x01"})
                self.write(connection, CallerMessage(message.call, result_message.encode(), "free"))
            case binary.PROGRESS | binary.RELEASE_COMPLETE | binary.STATE | binary.TEST_RESULT:
                pass
            case _:
                self._counters.add("callers.unknown")
                connection.invalid_messages += 1
                self.write(
                    connection,
                    CallerMessage(
                        message.call, binary.encode_release(message.call, CAUSE_UNKNOWN_TYPE), "free"
                    ),
                )
        connection.last_activity = now

    async def _handle_set_up(self, connection: CallerConnection, message: binary.Message, now: float) -> None:
        self._counters.add("callers.set_ups")
        if connection.client_gone:
            self._counters.add("calls.given_up")
            return
        try:
            set_up = self._set_up_parser.parse(message, now)
        except InvalidSetUpError as error:
            self._counters.add("callers.bad_set_ups")
            connection.invalid_messages += 1
            answer = CallerMessage(message.call, binary.encode_release(message.call, error.cause), "final")
            class_name = self._set_up_parser.known_class(message.parameters.get(binary.CLASS, b""), now)
            self.write(
                connection, answer, class_name, "rejected" if error.cause in RETRY_CAUSES else "failed"
            )
            return
        caller = BinaryCaller(self, connection, message.call, set_up.request.class_name.decode())
        if message.call in connection.open_set_ups:
            self._counters.add("calls.clashes")
            self.close_when_answered(connection)
            return
        connection.open_set_ups[message.call] = caller
        self._mark_as_caller(connection)
        await self._inbox.put(
            Offer(
                call=message.call.hex(),
                class_name=set_up.request.class_name.decode(),
                destination=set_up.destination,
                number=int.from_bytes(set_up.request.number, "big"),
                deadline=now + set_up.time_limit,
                caller=caller,
                request=set_up.request,
                request_bytes=set_up.request.size,
                again=set_up.again,
                called_number=set_up.request.number.decode(),  # validated as ASCII
            )
        )

    def _mark_as_caller(self, connection: CallerConnection) -> None:
        """Marks the connection as a caller's and queues the releases that wait for one."""
        connection.is_caller = True
        while self._pending_releases:
            connection.outbox.put(self._pending_releases.popleft())

    # Messages to callers

    def write(
        self,
        connection: CallerConnection,
        message: CallerMessage,
        class_name: str | None = None,
        result: str = "",
    ) -> None:
        """Queues a message on this connection, or drops it if that has ended; a full queue closes the
        connection.

        A final answer is counted under its call class `class_name` as `result` (completed, rejected or
        failed)."""
        if message.kind in ("answer", "final"):
            message.caller = connection.open_set_ups.pop(message.call, None)
        if not connection.alive:
            self._counters.add("callers.unwritten")
        elif not connection.outbox.put(message):
            if message.caller:
                connection.open_set_ups[message.call] = message.caller
            self._counters.add("callers.too_slow")
            connection.scope.cancel()
        else:
            if class_name is not None:
                self._counters.answered(class_name, result)
            if message.kind == "answer":
                self._limits.call_stands(connection, message.call)

    def release(self, connection: CallerConnection, message: CallerMessage) -> None:
        """Queues a release on this connection, on another, or until the next one opens."""
        self._limits.call_ended(message.call)
        target = connection if connection.alive else self._limits.release_target()
        if target is None or not target.outbox.put(message):
            self._pending_releases.append(message)

    async def _write(self, connection: CallerConnection) -> None:
        while True:
            await connection.outbox.wait()
            messages = connection.outbox.take()
            try:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await connection.stream.send(b"".join(message.data for message in messages))
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                connection.scope.cancel()  # what was in flight may have reached the caller in part
                return
            connection.outbox.written()
            connection.last_activity = time.time()
            for message in messages:
                self._counters.add(f"callers.sent_{message.kind}")
            if connection.closing and connection.nothing_pending:
                connection.scope.cancel()
