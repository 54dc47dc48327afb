"""The relay that every link of the rig goes through, on loopback only. `faults.py` decides what a link does.

Owns its listeners, its connections and the messages queued in them. Each direction of each connection has its
own bounded queue, so that a slow link holds up its sender and nobody else.
"""

from __future__ import annotations

import heapq
import ipaddress
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from random import Random
from time import monotonic

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus

from harepick.fleet.faults import CLEAR, TOOL, Delivery, Fault, LinkSchedule, Network
from harepick.fleet.ports import HOST
from harepick.store.wire import LENGTH, MAX_FRAME, WireError, hellos

READ_SIZE = 64 * 1024
MAX_DATAGRAM_BYTES = 65_535
MAX_QUEUED_BYTES = 1024 * 1024  # queued in one direction of one connection before its sender is held up
MAX_CONNECTIONS = 512  # through one port; further ones are closed at once
MAX_SOURCES = 4_096  # UDP clients of one port; beyond them the least recently active one is dropped
CONNECT_TIMEOUT_S = 1.0  # to connect to the far side
IDENTIFY_TIMEOUT_S = 10.0  # for a connection's first message, which identifies its client
MAX_SAMPLES = 100_000  # latencies kept
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

IdentifyClient = Callable[[bytes], str]  # first message of a connection -> name of the end that opened it


class RelayError(ValueError):
    """An address that the relay may not use."""


def on_loopback(host: str) -> str:
    """Returns `host` if it is a loopback address; raises `RelayError` otherwise."""
    if not ipaddress.ip_address(host).is_loopback:
        raise RelayError(f"the relay is limited to loopback addresses: {host}")
    return host


def store_sender(first: bytes) -> str:
    """The name of the replica that opened a connection to another one, or `tool`; raises `WireError`."""
    hello = hellos.read(first[LENGTH.size :])
    return hello.replica if hello.role == "peer" else TOOL


class MessageStream:
    """Splits a stream into messages: length-prefixed frames, or, if not `framed`, whatever one read returns.

    Bytes are passed on unchanged; a frame over the store's limit is malformed and is passed on in parts."""

    def __init__(self, stream: SocketStream, *, framed: bool) -> None:
        self._stream, self._framed = stream, framed
        self._buffer = bytearray()

    async def next(self) -> bytes:
        """The next message. Raises `anyio.EndOfStream`; an incomplete frame is lost with its connection."""
        if not self._framed:
            return await self._stream.receive(READ_SIZE)
        while (size := self._complete_size()) is None:
            self._buffer += await self._stream.receive(READ_SIZE)
        data = bytes(memoryview(self._buffer)[:size])
        del self._buffer[:size]
        return data

    def _complete_size(self) -> int | None:
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME:
            return len(self._buffer)
        return LENGTH.size + length if len(self._buffer) >= LENGTH.size + length else None


class DueQueue:
    """The messages that one direction still has to send, ordered by due time; bounded in bytes."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Delivery]] = []
        self._count = self._bytes = 0
        self._item_added, self._space = anyio.Event(), anyio.Event()

    async def put(self, delivery: Delivery) -> None:
        """Waits until there is space; meanwhile the sender is held up, as by a full socket."""
        while self._bytes and self._bytes + len(delivery.data) > MAX_QUEUED_BYTES:
            self._space = anyio.Event()
            await self._space.wait()
        self._count += 1
        self._bytes += len(delivery.data)
        heapq.heappush(self._heap, (delivery.due, self._count, delivery))
        self._item_added.set()

    async def next(self) -> Delivery:
        """Waits for the message with the earliest due time, which may be one that is put meanwhile."""
        while True:
            self._item_added = anyio.Event()
            if self._heap and self._heap[0][0] <= (now := monotonic()):
                delivery = heapq.heappop(self._heap)[2]
                self._bytes -= len(delivery.data)
                self._space.set()
                return delivery
            with anyio.move_on_after(self._heap[0][0] - now if self._heap else None):
                await self._item_added.wait()

    def last_due(self) -> float:
        """The latest due time in the queue; minus infinity if it is empty."""
        return max((due for due, *_ in self._heap), default=float("-inf"))


@dataclass(slots=True)
class Figures:
    """Counters of the relay. `delays` are the seconds from a message's due time, or from its read for
    datagrams without a fault, until it was sent on."""

    connections: int = 0
    refused: int = 0  # connections over the bound, unidentified, or whose far side was unreachable
    carried: int = 0
    dropped: int = 0
    repeated: int = 0
    cuts: int = 0
    delays: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


class Relay:
    """Serves until its task group is cancelled; `port` and `datagrams` add relayed ports while it runs."""

    def __init__(self, network: Network, seed: int = 0) -> None:
        self.network = network
        self.figures = Figures()
        self._rng = Random(seed)
        self._tasks: TaskGroup | None = None
        self._changed = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        async with AsyncExitStack() as stack:
            self._tasks = await stack.enter_async_context(anyio.create_task_group())
            task_status.started()
            await anyio.sleep_forever()

    def changed(self) -> None:
        """To be called after each change of the network: wakes the directions that wait on a cut link."""
        self._changed.set()
        self._changed = anyio.Event()

    # Streams

    async def port(self, receiver: str, to: int, who: IdentifyClient | str, *, framed: bool = True) -> int:
        """Opens a TCP port that relays to port `to` of `receiver`; `who` names the end that connects."""
        assert self._tasks
        listener = await anyio.create_tcp_listener(local_host=on_loopback(HOST), local_port=0, backlog=256)
        open_now = 0

        async def accept(near: SocketStream) -> None:
            nonlocal open_now
            async with near:
                if open_now >= MAX_CONNECTIONS:
                    self.figures.refused += 1
                    return
                open_now += 1
                try:
                    await self._carry(near, receiver, to, who, framed)
                except (*CONNECTION_ERRORS, WireError):
                    self.figures.refused += 1
                finally:
                    open_now -= 1

        self._tasks.start_soon(listener.serve, accept)
        return int(listener.extra(SocketAttribute.local_port))

    async def _carry(
        self, near: SocketStream, receiver: str, to: int, who: IdentifyClient | str, framed: bool
    ) -> None:
        """Relays one connection; raises one of `CONNECTION_ERRORS`, or `WireError`, if it can't be identified
        or opened."""
        inward = MessageStream(near, framed=framed)
        first: bytes | None = None
        if isinstance(who, str):
            sender = who
        else:
            with anyio.fail_after(IDENTIFY_TIMEOUT_S):
                first = await inward.next()
            sender = who(first)
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            far = await anyio.connect_tcp(HOST, to)
        for stream in (near, far):
            stream.extra(SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.figures.connections += 1
        async with far, anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            outward, inbound = (sender, receiver), (receiver, sender)
            tasks.start_soon(self._direction, inward, far, outward, first, scope)
            tasks.start_soon(self._direction, MessageStream(far, framed=framed), near, inbound, None, scope)

    async def _direction(
        self,
        messages: MessageStream,
        to: SocketStream,
        link: tuple[str, str],
        first: bytes | None,
        scope: anyio.CancelScope,
    ) -> None:
        """Relays one direction until its end; the connection ends with the first direction that ends."""
        queue = DueQueue()
        schedule = LinkSchedule(Random(self._rng.getrandbits(64)), exempt_messages=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_on, queue, to, scope)
            with suppress(*CONNECTION_ERRORS):
                while True:
                    data = first if first is not None else await messages.next()
                    first = None
                    await self._enqueue(schedule, data, link, queue)
            # The end of the stream is held back while the link drops everything, and follows what is queued.
            while self.network.fault(*link).drop:
                await self._changed.wait()
            await anyio.sleep(max(0.0, queue.last_due() - monotonic()) + 0.001)
            scope.cancel()

    async def _enqueue(
        self, schedule: LinkSchedule, data: bytes, link: tuple[str, str], queue: DueQueue
    ) -> None:
        now = monotonic()
        deliveries = schedule.deliveries(data, now, self.network.fault(*link))
        self.figures.dropped += not deliveries
        self.figures.repeated += len(deliveries) > 1
        for delivery in deliveries:
            await queue.put(delivery)

    async def _send_on(self, queue: DueQueue, to: SocketStream, scope: anyio.CancelScope) -> None:
        try:
            while True:
                delivery = await queue.next()
                if delivery.data:
                    await to.send(delivery.data)
                self.figures.carried += 1
                self.figures.delays.append(monotonic() - delivery.due)
                if delivery.cut:
                    self.figures.cuts += 1
                    # A reset instead of an orderly close: data that the far side has not read is lost.
                    raw = to.extra(SocketAttribute.raw_socket)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    scope.cancel()
        except CONNECTION_ERRORS:
            scope.cancel()

    # Datagrams

    async def datagrams(self, receiver: str, to: tuple[str, int], who: Callable[[int], str]) -> int:
        """Opens a UDP port that relays to address `to`; `who` names the end that owns a source port."""
        assert self._tasks
        host, port = to
        address = (on_loopback(host), port)
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        raw.bind((on_loopback(HOST), 0))
        self._tasks.start_soon(self._serve_datagrams, raw, receiver, address, who)
        return int(raw.getsockname()[1])

    async def _serve_datagrams(
        self,
        raw: socket.socket,
        receiver: str,
        address: tuple[str, int],
        who: Callable[[int], str],
    ) -> None:
        sources: dict[tuple[str, int], _Source] = {}
        with raw:
            async with anyio.create_task_group() as tasks:
                await self._receive_datagrams(raw, sources, receiver, address, who, tasks)

    async def _receive_datagrams(
        self,
        raw: socket.socket,
        sources: dict[tuple[str, int], _Source],
        receiver: str,
        address: tuple[str, int],
        who: Callable[[int], str],
        tasks: TaskGroup,
    ) -> None:
        while True:
            await anyio.wait_readable(raw)
            with suppress(OSError):
                while True:
                    data, peer = raw.recvfrom(MAX_DATAGRAM_BYTES)
                    source = sources.pop(peer, None)
                    if source is None:
                        rng = Random(self._rng.getrandbits(64))
                        source = _Source(who(peer[1]), LinkSchedule(rng), LinkSchedule(rng), address)
                        tasks.start_soon(self._relay_answers, raw, peer, source, receiver)
                    sources[peer] = source
                    if len(sources) > MAX_SOURCES:
                        sources.pop(next(iter(sources))).end()
                    fault = self.network.fault(source.name, receiver)
                    self._forward(tasks, source.outward, data, fault, source.sock.send)

    async def _relay_answers(
        self, raw: socket.socket, peer: tuple[str, int], source: _Source, receiver: str
    ) -> None:
        """Relays the far side's answers to one source."""
        with source.scope, source.sock:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(source.sock)
                    with suppress(OSError):
                        while True:
                            data = source.sock.recv(MAX_DATAGRAM_BYTES)
                            fault = self.network.fault(receiver, source.name)
                            self._forward(tasks, source.inbound, data, fault, lambda d: raw.sendto(d, peer))

    def _forward(
        self,
        tasks: TaskGroup,
        schedule: LinkSchedule,
        data: bytes,
        fault: Fault,
        send: Callable[[bytes], object],
    ) -> None:
        now = monotonic()
        deliveries = schedule.deliveries(data, now, fault)
        self.figures.dropped += not deliveries
        self.figures.repeated += len(deliveries) > 1
        for delivery in deliveries:
            self.figures.carried += 1
            if fault is CLEAR or delivery.due <= now:
                with suppress(OSError):
                    send(delivery.data)
                self.figures.delays.append(monotonic() - now)
            else:
                tasks.start_soon(self._send_later, delivery, send)

    async def _send_later(self, delivery: Delivery, send: Callable[[bytes], object]) -> None:
        await anyio.sleep(delivery.due - monotonic())
        with suppress(OSError):
            send(delivery.data)


class _Source:
    """One UDP client. It has its own socket towards the far side, so that answers can be returned to it."""

    def __init__(
        self, name: str, outward: LinkSchedule, inbound: LinkSchedule, address: tuple[str, int]
    ) -> None:
        self.name, self.outward, self.inbound = name, outward, inbound
        self.scope = anyio.CancelScope()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.connect(address)

    def end(self) -> None:
        self.scope.cancel()
