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
from harepick.store.wire import LENGTH, MAX_FRAME, WireError, hello_decoder

READ_SIZE = 64 * 1024
MAX_DATAGRAM_BYTES = 65_535
MAX_QUEUED_BYTES = 1024 * 1024  # queued in one direction of one connection before its sender is held up
MAX_CONNECTIONS = 512  # through one port; further ones are closed at once
MAX_UDP_CLIENTS = 4_096  # of one port; beyond them the least recently active one is dropped
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
    hello = hello_decoder.read(first[LENGTH.size :])
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
        self._item_added, self._space_freed = anyio.Event(), anyio.Event()

    async def put(self, delivery: Delivery) -> None:
        """Waits until there is space; meanwhile the sender is held up, as by a full socket."""
        while self._bytes and self._bytes + len(delivery.data) > MAX_QUEUED_BYTES:
            self._space_freed = anyio.Event()
            await self._space_freed.wait()
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
                self._space_freed.set()
                return delivery
            with anyio.move_on_after(self._heap[0][0] - now if self._heap else None):
                await self._item_added.wait()

    def last_due(self) -> float:
        """The latest due time in the queue; minus infinity if it is empty."""
        return max((due for due, *_ in self._heap), default=float("-inf"))


@dataclass(slots=True)
class RelayCounters:
    """Counters of the relay.

    `delays` is the latency that the relay itself adds: the seconds from a message's due time, or from its
    read for datagrams without a fault, until it was sent on.
    """

    connections: int = 0
    refused: int = 0  # connections over the bound, unidentified, or whose far side was unreachable
    forwarded: int = 0
    dropped: int = 0
    repeated: int = 0
    cuts: int = 0
    delays: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


class Relay:
    """Serves until its task group is cancelled; `port` and `datagrams` add relayed ports while it runs."""

    def __init__(self, network: Network, seed: int = 0) -> None:
        self.network = network
        self.counters = RelayCounters()
        self._rng = Random(seed)
        self._tasks: TaskGroup | None = None
        self._network_changed = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        async with AsyncExitStack() as stack:
            self._tasks = await stack.enter_async_context(anyio.create_task_group())
            task_status.started()
            await anyio.sleep_forever()

    def network_changed(self) -> None:
        """To be called after each change of the network: wakes the directions that wait on a cut link."""
        self._network_changed.set()
        self._network_changed = anyio.Event()

    # Streams

    async def port(
        self, receiver: str, target_port: int, identify: IdentifyClient | str, *, framed: bool = True
    ) -> int:
        """Opens a TCP port that relays to port `target_port` of `receiver`. `identify` is the name of the end
        that connects, or tells it from the first message."""
        assert self._tasks
        listener = await anyio.create_tcp_listener(local_host=on_loopback(HOST), local_port=0, backlog=256)
        open_now = 0

        async def accept(near: SocketStream) -> None:
            nonlocal open_now
            async with near:
                if open_now >= MAX_CONNECTIONS:
                    self.counters.refused += 1
                    return
                open_now += 1
                try:
                    await self._relay_connection(near, receiver, target_port, identify, framed)
                except (*CONNECTION_ERRORS, WireError):
                    self.counters.refused += 1
                finally:
                    open_now -= 1

        self._tasks.start_soon(listener.serve, accept)
        return int(listener.extra(SocketAttribute.local_port))

    async def _relay_connection(
        self,
        near: SocketStream,
        receiver: str,
        target_port: int,
        identify: IdentifyClient | str,
        framed: bool,
    ) -> None:
        """Relays one connection; raises one of `CONNECTION_ERRORS`, or `WireError`, if it can't be identified
        or opened."""
        client_messages = MessageStream(near, framed=framed)
        first: bytes | None = None
        if isinstance(identify, str):
            sender = identify
        else:
            with anyio.fail_after(IDENTIFY_TIMEOUT_S):
                first = await client_messages.next()
            sender = identify(first)
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            far = await anyio.connect_tcp(HOST, target_port)
        for stream in (near, far):
            stream.extra(SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.counters.connections += 1
        async with far, anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            to_server, to_client = (sender, receiver), (receiver, sender)
            tasks.start_soon(self._direction, client_messages, far, to_server, first, scope)
            tasks.start_soon(self._direction, MessageStream(far, framed=framed), near, to_client, None, scope)

    async def _direction(
        self,
        messages: MessageStream,
        target: SocketStream,
        link: tuple[str, str],
        first: bytes | None,
        scope: anyio.CancelScope,
    ) -> None:
        """Relays one direction until its end; the connection ends with the first direction that ends."""
        queue = DueQueue()
        schedule = LinkSchedule(Random(self._rng.getrandbits(64)), exempt_messages=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_on, queue, target, scope)
            with suppress(*CONNECTION_ERRORS):
                while True:
                    data = first if first is not None else await messages.next()
                    first = None
                    await self._enqueue(schedule, data, link, queue)
            # A close shows the receiver that its peer is gone: a link that drops everything holds it back.
            while self.network.fault(*link).drop:
                await self._network_changed.wait()
            # The queued messages are sent before the close.
            await anyio.sleep(max(0.0, queue.last_due() - monotonic()) + 0.001)
            scope.cancel()

    async def _enqueue(
        self, schedule: LinkSchedule, data: bytes, link: tuple[str, str], queue: DueQueue
    ) -> None:
        now = monotonic()
        deliveries = schedule.deliveries(data, now, self.network.fault(*link))
        self.counters.dropped += not deliveries
        self.counters.repeated += len(deliveries) > 1
        for delivery in deliveries:
            await queue.put(delivery)

    async def _send_on(self, queue: DueQueue, target: SocketStream, scope: anyio.CancelScope) -> None:
        try:
            while True:
                delivery = await queue.next()
                if delivery.data:
                    await target.send(delivery.data)
                self.counters.forwarded += 1
                self.counters.delays.append(monotonic() - delivery.due)
                if delivery.cut:
                    self.counters.cuts += 1
                    # A reset instead of an orderly close: data that the far side has not read is lost.
                    raw = target.extra(SocketAttribute.raw_socket)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    scope.cancel()
        except CONNECTION_ERRORS:
            scope.cancel()

    # Datagrams

    async def datagrams(self, receiver: str, target: tuple[str, int], identify: Callable[[int], str]) -> int:
        """Opens a UDP port that relays to address `target`; `identify` names the owner of a source port."""
        assert self._tasks
        host, port = target
        address = (on_loopback(host), port)
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        raw.bind((on_loopback(HOST), 0))
        self._tasks.start_soon(self._serve_datagrams, raw, receiver, address, identify)
        return int(raw.getsockname()[1])

    async def _serve_datagrams(
        self,
        raw: socket.socket,
        receiver: str,
        address: tuple[str, int],
        identify: Callable[[int], str],
    ) -> None:
        clients: dict[tuple[str, int], _UdpClient] = {}
        with raw:
            async with anyio.create_task_group() as tasks:
                await self._receive_datagrams(raw, clients, receiver, address, identify, tasks)

    async def _receive_datagrams(
        self,
        raw: socket.socket,
        clients: dict[tuple[str, int], _UdpClient],
        receiver: str,
        address: tuple[str, int],
        identify: Callable[[int], str],
        tasks: TaskGroup,
    ) -> None:
        while True:
            await anyio.wait_readable(raw)
            with suppress(OSError):
                while True:
                    data, peer = raw.recvfrom(MAX_DATAGRAM_BYTES)
                    client = clients.pop(peer, None)
                    if client is None:
                        rng = Random(self._rng.getrandbits(64))
                        client = _UdpClient(identify(peer[1]), LinkSchedule(rng), LinkSchedule(rng), address)
                        tasks.start_soon(self._relay_answers, raw, peer, client, receiver)
                    # Moved to the end: the first one is the least recently active.
                    clients[peer] = client
                    if len(clients) > MAX_UDP_CLIENTS:
                        clients.pop(next(iter(clients))).end()
                    fault = self.network.fault(client.name, receiver)
                    self._forward(tasks, client.to_server, data, fault, client.sock.send)

    async def _relay_answers(
        self, raw: socket.socket, peer: tuple[str, int], client: _UdpClient, receiver: str
    ) -> None:
        """Relays the far side's answers to one client."""
        with client.scope, client.sock:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(client.sock)
                    with suppress(OSError):
                        while True:
                            data = client.sock.recv(MAX_DATAGRAM_BYTES)
                            fault = self.network.fault(receiver, client.name)
                            self._forward(tasks, client.to_client, data, fault, lambda d: raw.sendto(d, peer))

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
        self.counters.dropped += not deliveries
        self.counters.repeated += len(deliveries) > 1
        for delivery in deliveries:
            self.counters.forwarded += 1
            if fault is CLEAR or delivery.due <= now:
                with suppress(OSError):
                    send(delivery.data)
                self.counters.delays.append(monotonic() - now)
            else:
                tasks.start_soon(self._send_later, delivery, send)

    async def _send_later(self, delivery: Delivery, send: Callable[[bytes], object]) -> None:
        await anyio.sleep(delivery.due - monotonic())
        with suppress(OSError):
            send(delivery.data)


class _UdpClient:
    """One UDP client. It has its own socket towards the far side, so that answers can be returned to it."""

    def __init__(
        self, name: str, to_server: LinkSchedule, to_client: LinkSchedule, address: tuple[str, int]
    ) -> None:
        self.name, self.to_server, self.to_client = name, to_server, to_client
        self.scope = anyio.CancelScope()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.connect(address)

    def end(self) -> None:
        self.scope.cancel()
