"""The relay: every link of the rig goes through it, on loopback only. I/O; what a link does is `faults.py`.

Owns its listeners, its connections and what waits in them. Each direction of each connection has a bound of
its own: a link that is slow holds up who speaks on it, and nobody else.
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

from harepick.fleet.faults import CLEAR, TOOL, Fault, Lane, Network, Passage
from harepick.fleet.ports import HOST
from harepick.store.wire import LENGTH, MAX_FRAME, WireError, hellos

READ = 64 * 1024
DATAGRAM = 65_535
WAITING = 1024 * 1024  # bytes that may wait in one direction of one connection before its speaker is held up
MAX_CONNECTIONS = 512  # through one port; one more is closed at once
MAX_SOURCES = 4_096  # UDP clients that are remembered; the one silent for longest is forgotten
OPEN = 1.0  # seconds to open the far side
SPEAK = 10.0  # seconds that a connection has to tell who it is
SAMPLES = 100_000  # latencies that are kept
LOST = (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)

Who = Callable[[bytes], str]  # the first message of a connection -> the end that opened it


class RelayError(ValueError):
    """An address that the relay may not use."""


def on_loopback(host: str) -> str:
    if not ipaddress.ip_address(host).is_loopback:
        raise RelayError(f"the relay stays on loopback: {host}")
    return host


def store_speaker(first: bytes) -> str:
    """Who opened a connection to a replica: its name, or `tool`; raises `WireError`."""
    hello = hellos.read(first[LENGTH.size :])
    return hello.replica if hello.role == "peer" else TOOL


class Messages:
    """Cuts a stream into what counts as messages: frames with a length before them, or reads as they come.

    Bytes go on as they came; a frame over the store's limit is passed on in parts, as it makes no sense."""

    def __init__(self, stream: SocketStream, *, framed: bool) -> None:
        self._stream, self._framed = stream, framed
        self._buffer = bytearray()

    async def next(self) -> bytes:
        """Raises `anyio.EndOfStream`; a frame that never became whole is gone with its connection."""
        if not self._framed:
            return await self._stream.receive(READ)
        while (size := self._whole()) is None:
            self._buffer += await self._stream.receive(READ)
        data = bytes(memoryview(self._buffer)[:size])
        del self._buffer[:size]
        return data

    def _whole(self) -> int | None:
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME:
            return len(self._buffer)
        return LENGTH.size + length if len(self._buffer) >= LENGTH.size + length else None


class Waiting:
    """What one direction still has to send, in the order in which it is due; bounded in bytes."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Passage]] = []
        self._count = self._bytes = 0
        self._some, self._room = anyio.Event(), anyio.Event()

    async def put(self, passage: Passage) -> None:
        """Waits for room: the speaker is held up then, as by a full socket."""
        while self._bytes and self._bytes + len(passage.data) > WAITING:
            self._room = anyio.Event()
            await self._room.wait()
        self._count += 1
        self._bytes += len(passage.data)
        heapq.heappush(self._heap, (passage.due, self._count, passage))
        self._some.set()

    async def next(self) -> Passage:
        """The next that is due, at its time; one put meanwhile may go before it."""
        while True:
            self._some = anyio.Event()
            if self._heap and self._heap[0][0] <= (now := monotonic()):
                passage = heapq.heappop(self._heap)[2]
                self._bytes -= len(passage.data)
                self._room.set()
                return passage
            with anyio.move_on_after(self._heap[0][0] - now if self._heap else None):
                await self._some.wait()

    def last_due(self) -> float:
        return max((due for due, *_ in self._heap), default=float("-inf"))


@dataclass(slots=True)
class Figures:
    """What the relay did, by what happened; `delays` are seconds from a message's read to its being sent on,
    beyond what its fault asked for."""

    connections: int = 0
    refused: int = 0  # connections over the bound, from strangers, or whose far side was not there
    carried: int = 0
    dropped: int = 0
    repeated: int = 0
    cuts: int = 0
    delays: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))


class Relay:
    """Serves until its task group is cancelled; `port` and `datagrams` add ways through it while it runs."""

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
        """To be called after each change of the network: ends that were held back look again."""
        self._changed.set()
        self._changed = anyio.Event()

    # Streams

    async def port(self, hearer: str, to: int, who: Who | str, *, framed: bool = True) -> int:
        """A new port before `hearer`'s own port `to`; `who` tells who opened a connection."""
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
                    await self._carry(near, hearer, to, who, framed)
                except (*LOST, WireError):
                    self.figures.refused += 1
                finally:
                    open_now -= 1

        self._tasks.start_soon(listener.serve, accept)
        return int(listener.extra(SocketAttribute.local_port))

    async def _carry(self, near: SocketStream, hearer: str, to: int, who: Who | str, framed: bool) -> None:
        """One connection, from its first message on; raises `CONNECTION_ERRORS` if it comes to nothing."""
        inward = Messages(near, framed=framed)
        first: bytes | None = None
        if isinstance(who, str):
            speaker = who
        else:
            with anyio.fail_after(SPEAK):
                first = await inward.next()
            speaker = who(first)
        with anyio.fail_after(OPEN):
            far = await anyio.connect_tcp(HOST, to)
        for stream in (near, far):
            stream.extra(SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.figures.connections += 1
        async with far, anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            out, back = (speaker, hearer), (hearer, speaker)
            tasks.start_soon(self._direction, inward, far, out, first, scope)
            tasks.start_soon(self._direction, Messages(far, framed=framed), near, back, None, scope)

    async def _direction(
        self,
        messages: Messages,
        to: SocketStream,
        link: tuple[str, str],
        first: bytes | None,
        scope: anyio.CancelScope,
    ) -> None:
        """Reads one direction until its end; the connection ends with the first direction that does."""
        waiting = Waiting()
        lane = Lane(Random(self._rng.getrandbits(64)), spared=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_on, waiting, to, scope)
            with suppress(*LOST):
                while True:
                    data = first if first is not None else await messages.next()
                    first = None
                    await self._take(lane, data, link, waiting)
            # The end is held back as long as nothing comes through, and comes after all that was said.
            while self.network.fault(*link).drop:
                await self._changed.wait()
            await anyio.sleep(max(0.0, waiting.last_due() - monotonic()) + 0.001)
            scope.cancel()

    async def _take(self, lane: Lane, data: bytes, link: tuple[str, str], waiting: Waiting) -> None:
        now = monotonic()
        passages = lane.passages(data, now, self.network.fault(*link))
        self.figures.dropped += not passages
        self.figures.repeated += len(passages) > 1
        for passage in passages:
            await waiting.put(passage)

    async def _send_on(self, waiting: Waiting, to: SocketStream, scope: anyio.CancelScope) -> None:
        try:
            while True:
                passage = await waiting.next()
                if passage.data:
                    await to.send(passage.data)
                self.figures.carried += 1
                self.figures.delays.append(monotonic() - passage.due)
                if passage.cut:
                    self.figures.cuts += 1
                    # A reset, not an orderly end: what was not read on the other side is gone.
                    raw = to.extra(SocketAttribute.raw_socket)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    scope.cancel()
        except LOST:
            scope.cancel()

    # Datagrams

    async def datagrams(self, hearer: str, to: tuple[str, int], who: Callable[[int], str]) -> int:
        """A new UDP port before `to`; `who` tells from a source's port which end it is."""
        assert self._tasks
        host, port = to
        where = (on_loopback(host), port)
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        raw.bind((on_loopback(HOST), 0))
        self._tasks.start_soon(self._serve_datagrams, raw, hearer, where, who)
        return int(raw.getsockname()[1])

    async def _serve_datagrams(
        self,
        raw: socket.socket,
        hearer: str,
        where: tuple[str, int],
        who: Callable[[int], str],
    ) -> None:
        sources: dict[tuple[str, int], _Source] = {}
        with raw:
            async with anyio.create_task_group() as tasks:
                await self._take_datagrams(raw, sources, hearer, where, who, tasks)

    async def _take_datagrams(
        self,
        raw: socket.socket,
        sources: dict[tuple[str, int], _Source],
        hearer: str,
        where: tuple[str, int],
        who: Callable[[int], str],
        tasks: TaskGroup,
    ) -> None:
        while True:
            await anyio.wait_readable(raw)
            with suppress(OSError):
                while True:
                    data, peer = raw.recvfrom(DATAGRAM)
                    source = sources.pop(peer, None)
                    if source is None:
                        rng = Random(self._rng.getrandbits(64))
                        source = _Source(who(peer[1]), Lane(rng), Lane(rng), where)
                        tasks.start_soon(self._answers, raw, peer, source, hearer)
                    sources[peer] = source
                    if len(sources) > MAX_SOURCES:
                        sources.pop(next(iter(sources))).end()
                    fault = self.network.fault(source.name, hearer)
                    self._forward(tasks, source.out, data, fault, source.sock.send)

    async def _answers(self, raw: socket.socket, peer: tuple[str, int], source: _Source, hearer: str) -> None:
        """What the far side says to one source."""
        with source.scope, source.sock:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(source.sock)
                    with suppress(OSError):
                        while True:
                            data = source.sock.recv(DATAGRAM)
                            fault = self.network.fault(hearer, source.name)
                            self._forward(tasks, source.back, data, fault, lambda d: raw.sendto(d, peer))

    def _forward(
        self, tasks: TaskGroup, lane: Lane, data: bytes, fault: Fault, send: Callable[[bytes], object]
    ) -> None:
        now = monotonic()
        passages = lane.passages(data, now, fault)
        self.figures.dropped += not passages
        self.figures.repeated += len(passages) > 1
        for passage in passages:
            self.figures.carried += 1
            if fault is CLEAR or passage.due <= now:
                with suppress(OSError):
                    send(passage.data)
                self.figures.delays.append(monotonic() - now)
            else:
                tasks.start_soon(self._later, passage, send)

    async def _later(self, passage: Passage, send: Callable[[bytes], object]) -> None:
        await anyio.sleep(passage.due - monotonic())
        with suppress(OSError):
            send(passage.data)


class _Source:
    """One UDP client: its own socket towards the far side, so that answers find back to it."""

    def __init__(self, name: str, out: Lane, back: Lane, where: tuple[str, int]) -> None:
        self.name, self.out, self.back = name, out, back
        self.scope = anyio.CancelScope()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.connect(where)

    def end(self) -> None:
        self.scope.cancel()
