"""Connections between replicas, and the port for tools. Owns every socket of the store.

A replica sends on connections that it opened and receives on those that its peers opened. The outbox of each
peer is bounded, and messages that don't fit are dropped: Raft tolerates loss, and a slow peer must not delay
the others.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import ByteStream, TaskGroup, TaskStatus

from harepick.counters import Counters
from harepick.log import Log
from harepick.net.flow_control import pause_reading
from harepick.net.outbox import Outbox
from harepick.settings import Address, SettingsError, parse_address
from harepick.store import wire
from harepick.store.disk.storage import Identity
from harepick.store.node import PeerMessage
from harepick.store.settings import peer_address
from harepick.store.wire import CONNECTION_ERRORS, Frames, Hello, Welcome, WireError

CONNECT_TIMEOUT_S = 1.0  # for opening the connection, and again for the handshake
HELLO_TIMEOUT_S = 2.0  # for the hello on an accepted connection
SEND_TIMEOUT_S = 2.0  # for one write to a peer that does not read
IDLE_TIMEOUT_S = 30.0  # a peer's connection is closed after this long without a frame
MIN_RETRY_S, MAX_RETRY_S = 0.05, 0.5  # delay before connecting again; it doubles after each failure
MAX_UNIDENTIFIED = 64  # accepted connections before their hello; one more closes the oldest
MAX_PEERS = 64
MAX_TOOLS = 64
MAX_TOOL_BUFFER_BYTES = 16 * 1024 * 1024  # of incomplete requests of all tools together
MAX_OUTBOX = 512  # messages queued for one peer

MessageHandler = Callable[[str, PeerMessage], None]
ToolHandler = Callable[[ByteStream, Frames], Awaitable[None]]


async def open_stream(address: Address) -> ByteStream:
    """Opens a stream to a replica. Every stream of the store is opened here, so encryption can be added here.

    Raises `OSError`.
    """
    return await anyio.connect_tcp(address.host, address.port)


class Peer:
    """The outgoing connection to another replica, and the messages queued for it."""

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.outbox: Outbox[PeerMessage] = Outbox(MAX_OUTBOX)
        self.scope = anyio.CancelScope()
        self.connected = False
        self.error = "not tried"
        self.changed_at = time.time()


class Transport:
    """Sends and receives messages of one replica, and accepts connections of peers and tools."""

    def __init__(
        self,
        identity: Identity,
        listen: Address,
        pins: dict[str, str],
        handle_message: MessageHandler,
        save_pins: Callable[[dict[str, str]], Awaitable[None]],
        counters: Counters,
        log: Log,
    ) -> None:
        """`handle_message` gets the sender's name and each message received.

        `pins` maps each replica to the id of the folder that it had at first contact; `save_pins` makes such
        a mapping durable.
        """
        self._identity, self._listen, self._pins = identity, listen, pins
        self._handle_message, self._save_pins = handle_message, save_pins
        self._counters, self._log = counters, log
        self._peers: dict[str, Peer] = {}
        self._unidentified: list[anyio.CancelScope] = []
        self._incoming: dict[str, anyio.CancelScope] = {}  # peer -> its current connection
        self._tools: dict[Frames, anyio.CancelScope] = {}  # of the tools' connections
        self._pins_lock = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._is_member: Callable[[str], bool] = lambda name: True
        self._knows_members = False
        # Called with the name of a non-member that tries to connect with its pinned folder.
        self.on_rejoin_attempt: Callable[[str], None] = lambda name: None
        self.serve_tool: ToolHandler | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listens until cancelled; raises `SettingsError` if the address can't be bound."""
        address = self._listen
        try:
            listener = await anyio.create_tcp_listener(
                local_host=address.host, local_port=address.port, backlog=256
            )
        except OSError as error:
            raise SettingsError(f"setting store.listen: {address}: {error.strerror}") from None
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(listener.serve, self._accept)
            task_status.started()
            await anyio.sleep_forever()

    def set_members(self, addresses: dict[str, str], is_member: Callable[[str], bool]) -> None:
        """Sets the current members, name -> address; closes the connections to and from other replicas."""
        self._is_member = is_member
        self._knows_members = bool(addresses)
        addresses = {name: address for name, address in addresses.items() if name != self._identity.replica}
        for name in [known for known, peer in self._peers.items() if addresses.get(known) != peer.address]:
            self._peers.pop(name).scope.cancel()
        for name in [known for known in self._incoming if not is_member(known)]:
            self._incoming.pop(name).cancel()
        assert self._tasks
        for name, address in addresses.items():
            self._add_peer(name, address)

    def _add_peer(self, name: str, address: str) -> None:
        assert self._tasks
        if name not in self._peers:
            peer = self._peers[name] = Peer(name, address)
            self._tasks.start_soon(self._send_loop, peer)

    def send(self, to: str, message: PeerMessage) -> None:
        """Queues a message without blocking; drops it if the outbox is full or the peer is not connected."""
        peer = self._peers.get(to)
        if peer is None or not peer.connected or not peer.outbox.put(message):
            self._counters.add("store.unsent")

    def status(self) -> dict[str, dict[str, object]]:
        """Returns the state of the outgoing connections, peer -> row, as the operators' port shows it."""
        return {
            peer.name: {
                "address": peer.address,
                "connected": peer.connected,
                "error": "" if peer.connected else peer.error,
            }
            for peer in self._peers.values()
        }

    # Sending

    async def _send_loop(self, peer: Peer) -> None:
        """Keeps a connection to `peer` open, with exponential delays between attempts."""
        delay = MIN_RETRY_S
        with peer.scope:
            while True:
                try:
                    await self._send_over_one_connection(peer)
                    delay = MIN_RETRY_S
                except CONNECTION_ERRORS as error:
                    text = f"{type(error).__name__}: {error}"
                    if peer.connected or text != peer.error:
                        self._log.event("store_peer_lost", peer=peer.name, error=text)
                    if peer.connected:
                        delay = MIN_RETRY_S
                    peer.connected, peer.error, peer.changed_at = False, text, time.time()
                peer.outbox.clear()
                await anyio.sleep(delay)
                delay = min(MAX_RETRY_S, delay * 2)

    async def _send_over_one_connection(self, peer: Peer) -> None:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await open_stream(parse_address(peer.address, "store.member.address"))
        async with stream:
            identity = self._identity
            frames = Frames(stream)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await stream.send(wire.frame(self._hello()))
                welcome = wire.welcome_decoder.read(await frames.next())
            if welcome.error:
                raise WireError(f"turned away: {welcome.error}")
            if (welcome.cluster, welcome.replica) != (identity.cluster, peer.name):
                raise WireError(f"{peer.address} is {welcome.cluster}/{welcome.replica}, not {peer.name}")
            if mismatch := await self._folder_mismatch(peer.name, welcome.folder):
                raise WireError(mismatch)
            peer.connected, peer.error, peer.changed_at = True, "", time.time()
            self._log.event("store_peer", peer=peer.name)
            while True:
                await peer.outbox.wait()
                for part in self._packed(peer.outbox.clear()):
                    with anyio.fail_after(SEND_TIMEOUT_S):
                        await stream.send(part)

    def _hello(self) -> Hello:
        identity = self._identity
        return Hello("peer", identity.cluster, identity.replica, identity.folder, address=str(self._listen))

    def _packed(self, messages: list[PeerMessage]) -> list[bytes]:
        """Packs messages into as few writes as possible, each of at most `MAX_FRAME` bytes."""
        chunks, size = [bytearray()], 0
        for message in messages:
            try:
                data = wire.frame(message)
            except WireError:
                self._counters.add("store.too_large")
                continue
            if size and size + len(data) > wire.MAX_FRAME:
                chunks.append(bytearray())
                size = 0
            chunks[-1] += data
            size += len(data)
        return [bytes(chunk) for chunk in chunks if chunk]

    async def _folder_mismatch(self, name: str, folder: str) -> str:
        """Returns why `folder` is not the one of replica `name`; empty if it is.

        At first contact the folder is pinned durably. A wiped replica has lost its votes, so one with another
        folder is refused.
        """
        async with self._pins_lock:
            pinned = self._pins.get(name)
            if pinned is None:
                await self._save_pins({**self._pins, name: folder})
                self._pins[name] = folder
                return ""
        if pinned == folder:
            return ""
        return (
            f"replica {name} has another folder than before: it was wiped; "
            "remove it, and add it under a new name"
        )

    # Receiving

    async def _accept(self, stream: ByteStream) -> None:
        pause_reading(stream)
        scope = anyio.CancelScope()
        self._unidentified.append(scope)
        if len(self._unidentified) > MAX_UNIDENTIFIED:
            self._counters.add("store.strangers_dropped")
            self._unidentified[0].cancel()
        with scope:
            async with stream:
                try:
                    await self._serve_connection(stream, scope)
                except WireError as error:
                    self._counters.add("store.malformed")
                    self._log.event("store_malformed", error=str(error))
                except CONNECTION_ERRORS:
                    self._counters.add("store.connections_lost")
                finally:
                    if scope in self._unidentified:
                        self._unidentified.remove(scope)

    async def _serve_connection(self, stream: ByteStream, scope: anyio.CancelScope) -> None:
        frames = Frames(stream)
        with anyio.fail_after(HELLO_TIMEOUT_S):
            hello = wire.hello_decoder.read(await frames.next())
            reason = await self._rejection_reason(hello)
            identity = self._identity
            await stream.send(
                wire.frame(Welcome(identity.cluster, identity.replica, identity.folder, reason))
            )
        if reason:
            self._counters.add("store.turned_away")
            self._log.event("store_turned_away", replica=hello.replica, error=reason)
            return
        self._unidentified.remove(scope)
        frames.max_size = wire.MAX_FRAME
        if hello.role == "tool":
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):  # a tool may disconnect at any time
                await self._serve_tool(stream, frames, scope)
            return
        if not self._knows_members:  # being added: connect back to this peer until the log names the members
            with suppress(SettingsError):
                self._add_peer(hello.replica, str(peer_address(hello.address, "address")))
        if previous := self._incoming.pop(hello.replica, None):
            previous.cancel()  # the peer opened a new connection: the previous one is stale
        self._incoming[hello.replica] = scope
        try:
            while True:
                while (data := frames.pop_buffered()) is not None:
                    self._counters.add("store.heard")
                    self._handle_message(hello.replica, wire.decode_peer_message(data))
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    await frames.fill()
        finally:
            if self._incoming.get(hello.replica) is scope:
                del self._incoming[hello.replica]

    async def _rejection_reason(self, hello: Hello) -> str:
        """Returns why a connection is refused; empty if it is accepted."""
        identity = self._identity
        if hello.version != wire.VERSION:
            return f"version {hello.version}; this replica speaks {wire.VERSION}"
        if hello.cluster != identity.cluster:
            return f"cluster {hello.cluster!r}; this is {identity.cluster!r}"
        if hello.role == "tool":
            return "" if self._make_room_for_tool() else "too many tools"
        if hello.role != "peer":
            return f"unknown role {hello.role!r}"
        if hello.replica == identity.replica:
            return f"replica {hello.replica!r} is this one"
        if not self._is_member(hello.replica):
            if self._pins.get(hello.replica) == hello.folder:
                self.on_rejoin_attempt(hello.replica)
            return f"replica {hello.replica!r} is no member"
        if len(self._incoming) >= MAX_PEERS:
            return "too many peers"
        return await self._folder_mismatch(hello.replica, hello.folder)

    def _make_room_for_tool(self) -> bool:
        """Closes the connection that has waited longest for a request if there are `MAX_TOOLS`; returns False
        if a request is being served on each."""
        return len(self._tools) < MAX_TOOLS or self._drop_longest_waiting_tool()

    def _drop_longest_waiting_tool(self) -> bool:
        """Closes the tools' connection that has waited longest for a request; returns False if none waits."""
        waiting = [frames for frames in self._tools if frames.waiting_since is not None]
        if not waiting:
            return False
        longest = min(waiting, key=lambda frames: frames.waiting_since or 0.0)
        self._counters.add("store.tools_dropped")
        self._tools.pop(longest).cancel()
        return True

    def _bound_tool_buffers(self) -> None:
        """Closes connections while more than `MAX_TOOL_BUFFER_BYTES` of incomplete requests are buffered."""
        while sum(frames.buffered for frames in self._tools) > MAX_TOOL_BUFFER_BYTES:
            if not self._drop_longest_waiting_tool():
                return

    async def _serve_tool(self, stream: ByteStream, frames: Frames, scope: anyio.CancelScope) -> None:
        if self.serve_tool is None:
            return
        self._tools[frames] = scope
        frames.on_growth = self._bound_tool_buffers
        try:
            await self.serve_tool(stream, frames)
        finally:
            self._tools.pop(frames, None)
