"""Connections between replicas, and the door for tools. Owns every socket of the store.

A replica speaks on connections that it opened and listens on those opened to it. What waits for one peer is
bounded and dropped when it does not read: consensus takes loss, and a slow peer costs nobody else anything.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import ByteStream, TaskGroup, TaskStatus

from harepick.counters import Counters
from harepick.log import Log
from harepick.net.outbox import Outbox
from harepick.settings import Address, SettingsError, parse_address
from harepick.store import wire
from harepick.store.disk.storage import Identity
from harepick.store.node import PeerMessage
from harepick.store.settings import peer_address
from harepick.store.wire import CONNECTION_ERRORS, Frames, Hello, Welcome, WireError

CONNECT = 1.0  # seconds to open a connection and be welcomed
HELLO = 2.0  # seconds that a stranger has for its hello
STALL = 2.0  # seconds that a peer may leave us unread
QUIET = 30.0  # seconds without a frame after which a peer's connection is closed
RETRY, RETRY_MOST = 0.05, 0.5
MAX_STRANGERS = 64  # connections without a hello so far; the oldest makes room
MAX_PEERS = 64
MAX_TOOLS = 64
OUTBOX = 512  # messages that wait for one peer

Receive = Callable[[str, PeerMessage], None]
Serve = Callable[[ByteStream, Frames], Awaitable[None]]


async def open_stream(where: Address) -> ByteStream:
    """The one place where a stream is opened; encryption goes here."""
    return await anyio.connect_tcp(where.host, where.port)


class Peer:
    """The line to one other replica: what it is sent waits here."""

    def __init__(self, name: str, where: str) -> None:
        self.name, self.where = name, where
        self.outbox: Outbox[PeerMessage] = Outbox(OUTBOX)
        self.scope = anyio.CancelScope()
        self.up = False
        self.error = "not tried"
        self.since = time.time()


class Transport:
    def __init__(
        self,
        identity: Identity,
        listen: Address,
        pins: dict[str, str],
        receive: Receive,
        pin: Callable[[dict[str, str]], Awaitable[None]],
        counters: Counters,
        log: Log,
    ) -> None:
        """`pins`: replica -> id of its folder as first met; `pin` makes all of them durable."""
        self._identity, self._listen, self._pins = identity, listen, pins
        self._receive, self._pin = receive, pin
        self._counters, self._log = counters, log
        self._peers: dict[str, Peer] = {}
        self._strangers: list[anyio.CancelScope] = []
        self._heard: dict[str, anyio.CancelScope] = {}  # the connection that a peer speaks on now
        self._tools = 0
        self._pinning = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._may_speak: Callable[[str], bool] = lambda name: True
        self._knows_members = False
        self.on_rejoin_attempt: Callable[[str], None] = lambda name: None  # known folder, no member
        self.serve_tool: Serve | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        where = self._listen
        try:
            listener = await anyio.create_tcp_listener(
                local_host=where.host, local_port=where.port, backlog=256
            )
        except OSError as error:
            raise SettingsError(f"setting store.listen: {where}: {error.strerror}") from None
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(listener.serve, self._accept)
            task_status.started()
            await anyio.sleep_forever()

    def members(self, rows: dict[str, str], may_speak: Callable[[str], bool]) -> None:
        """The members now, name -> address. Lines to others end, also those they opened."""
        self._may_speak = may_speak
        self._knows_members = bool(rows)
        rows = {name: where for name, where in rows.items() if name != self._identity.replica}
        for name in [n for n, peer in self._peers.items() if rows.get(n) != peer.where]:
            self._peers.pop(name).scope.cancel()
        for name in [n for n in self._heard if not may_speak(n)]:
            self._heard.pop(name).cancel()
        assert self._tasks
        for name, where in rows.items():
            self._add(name, where)

    def _add(self, name: str, where: str) -> None:
        assert self._tasks
        if name not in self._peers:
            peer = self._peers[name] = Peer(name, where)
            self._tasks.start_soon(self._speak, peer)

    def send(self, to: str, message: PeerMessage) -> None:
        """Never blocks; what finds no room, or no line, is dropped."""
        peer = self._peers.get(to)
        if peer is None or not peer.up or not peer.outbox.put(message):
            self._counters.add("store.unsent")

    def status(self) -> dict[str, dict[str, object]]:
        return {
            p.name: {"address": p.where, "connected": p.up, "error": "" if p.up else p.error}
            for p in self._peers.values()
        }

    # Speaking

    async def _speak(self, peer: Peer) -> None:
        wait = RETRY
        with peer.scope:
            while True:
                try:
                    await self._speak_once(peer)
                    wait = RETRY
                except CONNECTION_ERRORS as error:
                    text = f"{type(error).__name__}: {error}"
                    if peer.up or text != peer.error:
                        self._log.event("store_peer_lost", peer=peer.name, error=text)
                    if peer.up:
                        wait = RETRY
                    peer.up, peer.error, peer.since = False, text, time.time()
                peer.outbox.clear()
                await anyio.sleep(wait)
                wait = min(RETRY_MOST, wait * 2)

    async def _speak_once(self, peer: Peer) -> None:
        with anyio.fail_after(CONNECT):
            stream = await open_stream(parse_address(peer.where, "store.member.address"))
        async with stream:
            me = self._identity
            frames = Frames(stream)
            with anyio.fail_after(CONNECT):
                await stream.send(wire.frame(self._hello()))
                welcome = wire.welcomes.read(await frames.next())
            if welcome.error:
                raise WireError(f"turned away: {welcome.error}")
            if (welcome.cluster, welcome.replica) != (me.cluster, peer.name):
                raise WireError(f"{peer.where} is {welcome.cluster}/{welcome.replica}, not {peer.name}")
            if why := await self._known(peer.name, welcome.folder):
                raise WireError(why)
            peer.up, peer.error, peer.since = True, "", time.time()
            self._log.event("store_peer", peer=peer.name)
            while True:
                await peer.outbox.wait()
                for part in self._packed(peer.outbox.clear()):
                    with anyio.fail_after(STALL):
                        await stream.send(part)

    def _hello(self) -> Hello:
        me = self._identity
        return Hello("peer", me.cluster, me.replica, me.folder, address=str(self._listen))

    def _packed(self, messages: list[PeerMessage]) -> list[bytes]:
        """Frames, many in one write, none in a write of over `MAX_FRAME`."""
        parts, size = [bytearray()], 0
        for message in messages:
            try:
                data = wire.frame(message)
            except WireError:
                self._counters.add("store.too_large")
                continue
            if size and size + len(data) > wire.MAX_FRAME:
                parts.append(bytearray())
                size = 0
            parts[-1] += data
            size += len(data)
        return [bytes(part) for part in parts if part]

    async def _known(self, name: str, folder: str) -> str:
        """Why that folder is not this replica's; empty if it is. A first meeting pins it, durably."""
        async with self._pinning:
            pinned = self._pins.get(name)
            if pinned is None:
                await self._pin({**self._pins, name: folder})
                self._pins[name] = folder
                return ""
        if pinned == folder:
            return ""
        return (
            f"replica {name} has another folder than before: it was wiped; "
            "remove it, and add it under a new name"
        )

    # Listening

    async def _accept(self, stream: ByteStream) -> None:
        scope = anyio.CancelScope()
        self._strangers.append(scope)
        if len(self._strangers) > MAX_STRANGERS:
            self._counters.add("store.strangers_dropped")
            self._strangers[0].cancel()
        with scope:
            async with stream:
                try:
                    await self._hear(stream, scope)
                except WireError as error:
                    self._counters.add("store.malformed")
                    self._log.event("store_malformed", error=str(error))
                except CONNECTION_ERRORS:
                    self._counters.add("store.connections_lost")
                finally:
                    if scope in self._strangers:
                        self._strangers.remove(scope)

    async def _hear(self, stream: ByteStream, scope: anyio.CancelScope) -> None:
        frames = Frames(stream)
        with anyio.fail_after(HELLO):
            hello = wire.hellos.read(await frames.next())
            why = await self._unwelcome(hello)
            me = self._identity
            await stream.send(wire.frame(Welcome(me.cluster, me.replica, me.folder, why)))
        if why:
            self._counters.add("store.turned_away")
            self._log.event("store_turned_away", replica=hello.replica, error=why)
            return
        self._strangers.remove(scope)
        frames.most = wire.MAX_FRAME
        if hello.role == "tool":
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):  # a tool may go when it likes
                await self._hear_tool(stream, frames)
            return
        if not self._knows_members:  # it adds us: answer where it listens, until the log tells the members
            with suppress(SettingsError):
                self._add(hello.replica, str(peer_address(hello.address, "address")))
        if old := self._heard.pop(hello.replica, None):
            old.cancel()  # it opened a new one: the old one is dead, or soon will be
        self._heard[hello.replica] = scope
        try:
            while True:
                while (data := frames.ready()) is not None:
                    self._counters.add("store.heard")
                    self._receive(hello.replica, wire.peer_message(data))
                with anyio.fail_after(QUIET):
                    await frames.fill()
        finally:
            if self._heard.get(hello.replica) is scope:
                del self._heard[hello.replica]

    async def _unwelcome(self, hello: Hello) -> str:
        me = self._identity
        if hello.version != wire.VERSION:
            return f"version {hello.version}; this replica speaks {wire.VERSION}"
        if hello.cluster != me.cluster:
            return f"cluster {hello.cluster!r}; this is {me.cluster!r}"
        if hello.role == "tool":
            return "too many tools" if self._tools >= MAX_TOOLS else ""
        if hello.role != "peer":
            return f"unknown role {hello.role!r}"
        if hello.replica == me.replica:
            return f"replica {hello.replica!r} is this one"
        if not self._may_speak(hello.replica):
            if self._pins.get(hello.replica) == hello.folder:
                self.on_rejoin_attempt(hello.replica)
            return f"replica {hello.replica!r} is no member"
        if len(self._heard) >= MAX_PEERS:
            return "too many peers"
        return await self._known(hello.replica, hello.folder)

    async def _hear_tool(self, stream: ByteStream, frames: Frames) -> None:
        if self.serve_tool is None:
            return
        self._tools += 1
        try:
            await self.serve_tool(stream, frames)
        finally:
            self._tools -= 1
