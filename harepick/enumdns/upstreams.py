"""The DNS client of the ENUM front: presents upstream DNS servers to the core as its setup servers.

Keeps the channels (UDP sockets, each connected to one upstream from a source port that the system picks) and
the queries in progress on them. A reply is accepted only from the address that was queried, with a matching
id and question.
"""

from __future__ import annotations

import random
import socket
import time
from dataclasses import dataclass, field

import anyio
import dns.rcode
from anyio.abc import TaskGroup, TaskStatus

from harepick import interface
from harepick.core.inbox import Inbox
from harepick.core.messages import Answered, Attempt, AttemptOver
from harepick.counters import Counters
from harepick.directory import Directory
from harepick.enumdns import codec
from harepick.enumdns.codec import Question
from harepick.log import Log
from harepick.settings import Address

CHANNELS_PER_UPSTREAM = 16  # each query uses a random one, so that its source port cannot be predicted
QUERIES_PER_CHANNEL = 256  # after this many, a channel is replaced by one with a new source port
MAX_DATAGRAM_BYTES = 65_535
MAX_TCP_EXCHANGES = 32  # in progress at one upstream
SERVED_RCODES = (dns.rcode.NOERROR, dns.rcode.NXDOMAIN)
CAUSE_OVERLOADED = 3  # the controller's cause code of a server that rejects a set-up for lack of capacity


@dataclass(eq=False, slots=True)
class Channel:
    """A UDP socket connected to one upstream, and the queries in progress on it."""

    sock: socket.socket
    attempts: dict[int, Attempt] = field(default_factory=dict)  # query id -> attempt
    queries_sent: int = 0
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class Upstreams:
    """The core's port to the upstreams; implements `ServersPort`.

    `payload`: bytes of the largest UDP reply that the queries ask for; `connect_timeout` is in seconds.
    """

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
        self._random = random.SystemRandom()  # query ids must not be predictable
        self._channels: dict[str, list[Channel]] = {}
        self._open_queries: dict[Attempt, tuple[Channel, int]] = {}
        self._over_tcp: dict[Attempt, anyio.CancelScope] = {}
        self._tcp_slots: dict[str, anyio.Semaphore] = {}  # by server; `MAX_TCP_EXCHANGES` each
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Runs the channels' tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    def place(self, attempt: Attempt) -> interface.Outcome | None:
        """Sends the query of an attempt over UDP; returns an outcome if it was not sent."""
        record = self._directory.get(attempt.server)
        if record is None:
            return interface.Outcome.UNREACHED
        question: Question = attempt.request  # type: ignore[assignment]
        for _ in range(2):  # the first send may report the error of an earlier query on the same socket
            try:
                channel = self._channel(attempt.server, record.address)
                query_id = self._random.randrange(1 << 16)
                while query_id in channel.attempts:
                    query_id = self._random.randrange(1 << 16)
                data = codec.encode_query(question, query_id, self._payload)
                # Checked directly before the send: a process that was suspended in between would resume and
                # send a query that is no longer allowed.
                if not attempt.may_send(time.time()):
                    return interface.Outcome.MOOT
                channel.sock.send(data)
            except BlockingIOError:
                return interface.Outcome.MOOT  # the send buffer is full: the query was not sent
            except ConnectionRefusedError:
                self._port_unreachable(channel)
                continue
            except OSError as error:
                self._log.event("upstream", server=attempt.server, error=error.strerror)
                return interface.Outcome.UNREACHED
            attempt.sent = now = time.time()
            if not attempt.may_send(now):
                self._count("enum.doubtful")  # the process was suspended between the check and the send
            channel.queries_sent += 1
            channel.attempts[query_id] = attempt
            self._open_queries[attempt] = (channel, query_id)
            self._count("enum.sent_udp")
            return None
        return interface.Outcome.UNREACHED

    def cancel(self, attempt: Attempt) -> bool:
        """Forgets the query, so that its reply is not matched: DNS has no message to cancel one."""
        if open_query := self._open_queries.pop(attempt, None):
            channel, query_id = open_query
            channel.attempts.pop(query_id, None)
            if channel.queries_sent >= QUERIES_PER_CHANNEL and not channel.attempts:
                channel.scope.cancel()  # a replaced channel stays open only for its unanswered queries
        if scope := self._over_tcp.pop(attempt, None):
            scope.cancel()
        return True

    def release(self, server: str, call: str) -> None:
        """Does nothing: a look-up is over with its answer."""

    def listed(self, event: interface.ServerList) -> None:
        """Closes the channels of the servers that are gone, each after its last query."""
        for entry in event.entries:
            if entry.state == "gone":
                for channel in self._channels.pop(entry.server, []):
                    channel.queries_sent = QUERIES_PER_CHANNEL  # `_receive` ends after the last reply
                    if not channel.attempts:
                        channel.scope.cancel()

    def _channel(self, server: str, address: Address) -> Channel:
        """A random channel of the upstream; replaces those that have sent `QUERIES_PER_CHANNEL` queries."""
        assert self._tasks is not None
        channels = self._channels.setdefault(server, [])
        for used_up in [c for c in channels if c.queries_sent >= QUERIES_PER_CHANNEL]:
            channels.remove(used_up)
            if not used_up.attempts:
                used_up.scope.cancel()
        if len(channels) < CHANNELS_PER_UPSTREAM:
            family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_DGRAM)
            try:
                sock.setblocking(False)
                sock.connect((address.host, address.port))
            except OSError:
                sock.close()
                raise
            channels.append(Channel(sock))
            self._tasks.start_soon(self._receive, server, channels[-1])
        return self._random.choice(channels)

    async def _receive(self, server: str, channel: Channel) -> None:
        with channel.scope, channel.sock:
            while channel.queries_sent < QUERIES_PER_CHANNEL or channel.attempts:
                await anyio.wait_readable(channel.sock)
                try:
                    data = channel.sock.recv(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    continue
                except OSError:  # ICMP port unreachable: the upstream did not receive the queries
                    self._port_unreachable(channel)
                    continue
                await self._handle_reply(server, channel, data)

    def _port_unreachable(self, channel: Channel) -> None:
        """Reports all attempts of the channel as unreached, after an ICMP error."""
        assert self._tasks is not None
        self._count("enum.unreached")
        for attempt in list(channel.attempts.values()):
            self._open_queries.pop(attempt, None)
            self._tasks.start_soon(self._inbox.put, AttemptOver(attempt, interface.Outcome.UNREACHED))
        channel.attempts.clear()

    async def _handle_reply(self, server: str, channel: Channel, data: bytes) -> None:
        reply = codec.read_reply(data)
        attempt = channel.attempts.get(reply.id) if reply else None
        if reply is None or attempt is None or reply.question != attempt.request:
            self._count("enum.unmatched")
            return
        del channel.attempts[reply.id]
        self._open_queries.pop(attempt, None)
        if not reply.truncated:
            await self._report_reply(attempt, reply)
            return
        # The same attempt goes on over TCP; its query over UDP is finished.
        assert self._tasks is not None
        self._count("enum.truncated")
        scope = self._over_tcp[attempt] = anyio.CancelScope()
        self._tasks.start_soon(self._retry_over_tcp, server, attempt, scope)

    async def _report_reply(self, attempt: Attempt, reply: codec.Reply) -> None:
        self._count(f"enum.rcode_{reply.rcode}")
        if reply.rcode in SERVED_RCODES:
            answered = Answered(attempt.call, attempt.number, attempt.server, reply.data, lasting=False)
            await self._inbox.put(answered)
        elif reply.rcode == dns.rcode.REFUSED:
            await self._inbox.put(AttemptOver(attempt, interface.Outcome.FULL, CAUSE_OVERLOADED))
        else:
            await self._inbox.put(AttemptOver(attempt, interface.Outcome.ERROR))

    async def _retry_over_tcp(self, server: str, attempt: Attempt, scope: anyio.CancelScope) -> None:
        reply = None
        with scope:
            async with self._tcp_slots.setdefault(server, anyio.Semaphore(MAX_TCP_EXCHANGES)):
                try:
                    reply = await self._exchange_over_tcp(server, attempt)
                except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
                    self._count("enum.tcp_failed")
        if self._over_tcp.pop(attempt, None) is None:
            return  # cancelled in the meantime
        if reply is None:
            await self._inbox.put(AttemptOver(attempt, interface.Outcome.RESET))
        else:
            await self._report_reply(attempt, reply)

    async def _exchange_over_tcp(self, server: str, attempt: Attempt) -> codec.Reply | None:
        record = self._directory.get(server)
        if record is None:
            return None
        question: Question = attempt.request  # type: ignore[assignment]
        query_id = self._random.randrange(1 << 16)
        family = socket.AF_INET6 if ":" in record.address.host else socket.AF_INET
        with socket.socket(family, socket.SOCK_STREAM) as sock:
            sock.setblocking(False)
            with anyio.fail_after(self._connect_timeout):
                if sock.connect_ex((record.address.host, record.address.port)):
                    await anyio.wait_writable(sock)
                if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(error, "could not connect to the upstream over TCP")
            query = codec.encode_query(question, query_id, self._payload)
            query = len(query).to_bytes(2, "big") + query
            if not attempt.may_send(time.time()):
                return None  # the upstream drains or the deadline passed while the connection was set up
            sock.send(query)
            if not attempt.may_send(time.time()):
                self._count("enum.doubtful")
            self._count("enum.sent_tcp")
            data = b""
            while len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
                await anyio.wait_readable(sock)
                received = sock.recv(MAX_DATAGRAM_BYTES)
                if not received:
                    raise anyio.EndOfStream
                data += received
            reply = codec.read_reply(data[2 : 2 + int.from_bytes(data[:2], "big")])
        if reply is None or (reply.id, reply.question) != (query_id, question) or reply.truncated:
            self._count("enum.unmatched")
            return None
        return reply
