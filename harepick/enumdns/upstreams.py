"""The DNS client of the ENUM front: upstream DNS servers, as setup servers to the core.

Owns the channels (UDP sockets, each connected to one upstream from a port that the system draws) and the
queries open on them. A reply counts only if it comes from the address asked, and its id and question match.
"""

from __future__ import annotations

import random
import socket
import time
from dataclasses import dataclass, field

import anyio
import dns.rcode
from anyio.abc import TaskGroup, TaskStatus

from harepick import interface as i
from harepick.core.inbox import Inbox
from harepick.core.messages import Answered, Attempt, AttemptOver
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.enumdns import codec
from harepick.enumdns.codec import Question
from harepick.log import Log
from harepick.settings import Address

CHANNELS = 16  # sockets an upstream is asked from; which one, and its port, is chance
USES = 256  # queries after which a channel makes way for one with a new port
DATAGRAM = 65_535
TCP_AT_ONCE = 32  # exchanges over TCP at one upstream
SERVED = (dns.rcode.NOERROR, dns.rcode.NXDOMAIN)
FULL_CAUSE = 3  # the module's word for a server that turns work away for want of power


@dataclass(eq=False, slots=True)
class Channel:
    sock: socket.socket
    open: dict[int, Attempt] = field(default_factory=dict)  # query id -> attempt
    uses: int = 0
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class Upstreams:
    """The core's port."""

    def __init__(
        self,
        directory: Directory,
        inbox: Inbox,
        counters: Counters,
        log: Log,
        connect_timeout: float,
        payload: int,
    ) -> None:
        self._directory = directory
        self._inbox = inbox
        self._count = counters.add
        self._log = log
        self._connect_timeout = connect_timeout
        self._payload = payload
        self._random = random.SystemRandom()  # ids must not be guessed
        self._channels: dict[str, list[Channel]] = {}
        self._where: dict[Attempt, tuple[Channel, int]] = {}
        self._over_tcp: dict[Attempt, anyio.CancelScope] = {}
        self._tcp_room: dict[str, anyio.Semaphore] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    def place(self, attempt: Attempt) -> i.Outcome | None:
        row = self._directory.get(attempt.server)
        if row is None:
            return i.Outcome.UNREACHED
        question: Question = attempt.request  # type: ignore[assignment]
        for _ in range(2):  # a socket may still hold the error of an earlier query: that one is not ours
            try:
                channel = self._channel(attempt.server, row.address)
                ident = self._random.randrange(1 << 16)
                while ident in channel.open:
                    ident = self._random.randrange(1 << 16)
                data = codec.ask(question, ident, self._payload)
                # The last look, with nothing between it and the send: a process that is stopped in between
                # wakes up to send what it may not send any more.
                if not attempt.may_send(time.time()):
                    return i.Outcome.MOOT
                channel.sock.send(data)
            except BlockingIOError:
                return i.Outcome.MOOT  # the socket takes nothing: it never left
            except ConnectionRefusedError:
                self._lost(channel)
                continue
            except OSError as error:
                self._log.event("upstream", server=attempt.server, error=error.strerror)
                return i.Outcome.UNREACHED
            attempt.sent = now = time.time()
            if not attempt.may_send(now):
                self._count("enum.doubtful")  # this process stood still between the last look and the send
            channel.uses += 1
            channel.open[ident] = attempt
            self._where[attempt] = (channel, ident)
            self._count("enum.sent_udp")
            return None
        return i.Outcome.UNREACHED

    def cancel(self, attempt: Attempt) -> bool:
        """DNS knows no cancel: the query is forgotten, and its reply will match nothing."""
        if place := self._where.pop(attempt, None):
            channel, ident = place
            channel.open.pop(ident, None)
            if channel.uses >= USES and not channel.open:
                channel.scope.cancel()  # it waited for this one alone
        if scope := self._over_tcp.pop(attempt, None):
            scope.cancel()
        return True

    def release(self, server: str, call: str) -> None:
        """No look-up stands."""

    def listed(self, event: i.ServerList) -> None:
        for row in event.entries:
            if row.state == "gone":
                for channel in self._channels.pop(row.server, []):
                    channel.uses = USES
                    if not channel.open:
                        channel.scope.cancel()

    def _channel(self, server: str, where: Address) -> Channel:
        """One of the upstream's channels, at random; worn-out ones make way."""
        assert self._tasks is not None
        channels = self._channels.setdefault(server, [])
        for worn in [c for c in channels if c.uses >= USES]:
            channels.remove(worn)
            if not worn.open:
                worn.scope.cancel()
        if len(channels) < CHANNELS:
            family = socket.AF_INET6 if ":" in where.host else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_DGRAM)
            try:
                sock.setblocking(False)
                sock.connect((where.host, where.port))
            except OSError:
                sock.close()
                raise
            channels.append(Channel(sock))
            self._tasks.start_soon(self._listen, server, channels[-1])
        return self._random.choice(channels)

    async def _listen(self, server: str, channel: Channel) -> None:
        with channel.scope, channel.sock:
            while channel.uses < USES or channel.open:
                await anyio.wait_readable(channel.sock)
                try:
                    data = channel.sock.recv(DATAGRAM)
                except BlockingIOError:
                    continue
                except OSError:  # the port is closed: nothing that went there was heard
                    self._lost(channel)
                    continue
                await self._heard(server, channel, data)

    def _lost(self, channel: Channel) -> None:
        assert self._tasks is not None
        self._count("enum.unreached")
        for attempt in list(channel.open.values()):
            self._where.pop(attempt, None)
            self._tasks.start_soon(self._inbox.put, AttemptOver(attempt, i.Outcome.UNREACHED))
        channel.open.clear()

    async def _heard(self, server: str, channel: Channel, data: bytes) -> None:
        reply = codec.read_reply(data)
        attempt = channel.open.get(reply.id) if reply else None
        if reply is None or attempt is None or reply.question != attempt.request:
            self._count("enum.unmatched")
            return
        del channel.open[reply.id]
        self._where.pop(attempt, None)
        if not reply.truncated:
            await self._over(attempt, reply)
            return
        # The exchange over UDP has ended: the one over TCP is the same attempt, and never beside it.
        assert self._tasks is not None
        self._count("enum.truncated")
        scope = self._over_tcp[attempt] = anyio.CancelScope()
        self._tasks.start_soon(self._again_over_tcp, server, attempt, scope)

    async def _over(self, attempt: Attempt, reply: codec.Reply) -> None:
        self._count(f"enum.rcode_{reply.rcode}")
        if reply.rcode in SERVED:
            word = Answered(attempt.call, attempt.number, attempt.server, reply.data, lasting=False)
            await self._inbox.put(word)
        elif reply.rcode == dns.rcode.REFUSED:
            await self._inbox.put(AttemptOver(attempt, i.Outcome.FULL, FULL_CAUSE))
        else:
            await self._inbox.put(AttemptOver(attempt, i.Outcome.ERROR))

    async def _again_over_tcp(self, server: str, attempt: Attempt, scope: anyio.CancelScope) -> None:
        reply = None
        with scope:
            async with self._tcp_room.setdefault(server, anyio.Semaphore(TCP_AT_ONCE)):
                try:
                    reply = await self._exchange(server, attempt)
                except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
                    self._count("enum.tcp_failed")
        if self._over_tcp.pop(attempt, None) is None:
            return  # cancelled meanwhile
        if reply is None:
            await self._inbox.put(AttemptOver(attempt, i.Outcome.RESET))
        else:
            await self._over(attempt, reply)

    async def _exchange(self, server: str, attempt: Attempt) -> codec.Reply | None:
        row = self._directory.get(server)
        if row is None:
            return None
        question: Question = attempt.request  # type: ignore[assignment]
        ident = self._random.randrange(1 << 16)
        family = socket.AF_INET6 if ":" in row.address.host else socket.AF_INET
        with socket.socket(family, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            with anyio.fail_after(self._connect_timeout):
                if sock.connect_ex((row.address.host, row.address.port)):
                    await anyio.wait_writable(sock)
                if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(error, "no connection")
            query = codec.ask(question, ident, self._payload)
            query = len(query).to_bytes(2, "big") + query
            if not attempt.may_send(time.time()):
                return None  # told to drain, or out of time, while the connection came up
            sock.send(query)
            if not attempt.may_send(time.time()):
                self._count("enum.doubtful")
            self._count("enum.sent_tcp")
            data = b""
            while len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
                await anyio.wait_readable(sock)
                part = sock.recv(DATAGRAM)
                if not part:
                    raise anyio.EndOfStream
                data += part
            reply = codec.read_reply(data[2 : 2 + int.from_bytes(data[:2], "big")])
        if reply is None or (reply.id, reply.question) != (ident, question) or reply.truncated:
            self._count("enum.unmatched")
            return None
        return reply
