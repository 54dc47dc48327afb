"""The DNS server of the ENUM front: clients over UDP and TCP, on the core's ledger and rules.

Owns the look-ups under way. A client's retransmission joins the one under way; each look-up gets one answer.
"""

from __future__ import annotations

import socket
import struct
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import anyio
import dns.message
import dns.name
import dns.rcode
from anyio.abc import SocketAttribute, SocketStream, UDPSocket

from harepick.core.inbox import Inbox
from harepick.core.messages import CallerGone, Offer
from harepick.counters import Counters
from harepick.enumdns import codec
from harepick.log import Log
from harepick.net.outbox import Outbox
from harepick.settings import EnumSettings

LENGTH = struct.Struct(">H")
SEND_TIMEOUT = 2.0
BURST = 1 << 20  # bytes that may wait in the UDP socket while the core is busy
RESULT = {"served": "completed", "refused": "rejected", "failed": "failed"}  # as the figures name them
MARGIN = 0.2  # an answer is on its way so long before the look-up's deadline
Key = tuple[object, int, codec.Question]
Write = Callable[[bytes], None]


@dataclass(slots=True)
class Client:
    """Where an answer goes."""

    name: object  # peer address, or the TCP connection
    host: str
    write: Write
    over_udp: bool = True

    def room(self, query: codec.Query) -> int:
        return query.room if self.over_udp else 0xFFFF


class Lookup:
    """One look-up under way: the caller of a call, to the core."""

    __slots__ = ("_client", "_front", "_key", "call", "gone", "inbox", "lane", "query")

    def __init__(
        self,
        front: DnsListener,
        inbox: Inbox,
        call: str,
        key: Key,
        query: codec.Query,
        client: Client,
        lane: str,
    ) -> None:
        self._front, self.inbox, self.call, self._key = front, inbox, call, key
        self.query, self._client, self.lane = query, client, lane
        self.gone = False

    def stands(self, description: bytes) -> None:
        room = self._client.room(self.query)
        try:
            data = codec.passed_on(self.query, description, room)
            if data is None:
                data = codec.encode(codec.served(self.query, description), room)
        except (dns.exception.DNSException, ValueError):
            self.failed()
        else:
            self._done(data, "served")

    def refused(self, stay_away: float) -> None:
        text = f"overloaded, stay away for {round(stay_away * 1000)} ms" if stay_away > 0 else "overloaded"
        self._own(codec.refusal(self.query, dns.rcode.SERVFAIL, codec.NOT_READY, text), "refused")

    def failed(self) -> None:
        self._own(codec.refusal(self.query, dns.rcode.SERVFAIL, codec.NETWORK_ERROR), "failed")

    def over(self, *, cut: bool) -> None:
        """A look-up is over as soon as it is answered."""

    def duplicate_id(self) -> None:
        """Ids are this front's own and never used twice."""
        self.failed()

    def _own(self, message: dns.message.Message, kind: str) -> None:
        self._done(codec.encode(message, self._client.room(self.query)), kind)

    def _done(self, data: bytes, kind: str) -> None:
        if self._front.finished(self._key):
            self._front.counters.add(f"enum.{kind}")
            self._front.counters.answered(self.lane, RESULT[kind])
            self._client.write(data)


class Serving:
    """What look-ups are taken under: a configuration, the routes in it, and the core that gets them."""

    def __init__(self, config: EnumSettings, first_choice: Callable[[str], int], inbox: Inbox) -> None:
        self.config, self.first_choice, self.inbox = config, first_choice, inbox
        self.suffix = dns.name.from_text(config.suffix)


class DnsListener:
    def __init__(self, serving: Serving, counters: Counters, log: Log) -> None:
        self.counters = counters
        self._serving = serving
        self._log = log
        self._open: dict[Key, Lookup] = {}
        self._count = 0
        self._connections = 0
        self._udp: Outbox[tuple[bytes, tuple[str, int]]] = Outbox()

    @property
    def unwritten(self) -> int:
        return len(self._udp)

    def follow(self, serving: Serving) -> None:
        """Look-ups that come from now on are taken under this; those under way stay where they are."""
        self._serving = serving

    def finished(self, key: Key) -> bool:
        return self._open.pop(key, None) is not None

    async def serve_udp(self, sock: UDPSocket) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_udp, sock)
            raw = sock.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BURST)
            async for data, peer in sock:
                await self._take(data, Client(peer, peer[0], partial(self._put_udp, peer)))

    def _put_udp(self, peer: tuple[str, int], answer: bytes) -> None:
        if not self._udp.put((answer, peer)):
            self.counters.add("enum.unwritten")

    async def _write_udp(self, sock: UDPSocket) -> None:
        while True:
            await self._udp.wait()
            for answer, (host, port) in self._udp.clear():
                try:
                    await sock.sendto(answer, host, port)
                except OSError:
                    self.counters.add("enum.unwritten")

    async def serve_tcp(self, stream: SocketStream) -> None:
        """One TCP client; many queries may be under way on its connection."""
        async with stream:
            if self._connections >= self._serving.config.tcp_clients:
                self.counters.add("enum.turned_away")
                return
            self._connections += 1
            outbox: Outbox[bytes] = Outbox()
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_tcp, stream, outbox, tasks.cancel_scope)
                    await self._read_tcp(stream, outbox)
                    tasks.cancel_scope.cancel()
            finally:
                self._connections -= 1
                with anyio.CancelScope(shield=True):
                    for key, lookup in [(k, c) for k, c in self._open.items() if k[0] is outbox]:
                        self._open.pop(key, None)
                        lookup.gone = True
                        await lookup.inbox.put(CallerGone(lookup.call, lookup))

    async def _read_tcp(self, stream: SocketStream, outbox: Outbox[bytes]) -> None:
        def write(answer: bytes) -> None:
            if not outbox.put(answer):
                self.counters.add("enum.unwritten")

        host = str(stream.extra(SocketAttribute.remote_address, ("",))[0])
        client = Client(outbox, host, write, over_udp=False)
        buffer = bytearray()
        while True:
            try:
                with anyio.move_on_after(self._serving.config.tcp_idle) as scope:
                    buffer += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            if scope.cancelled_caught:
                if any(key[0] is outbox for key in self._open):
                    continue
                return
            while len(buffer) >= LENGTH.size:
                (length,) = LENGTH.unpack_from(buffer)
                if len(buffer) < LENGTH.size + length:
                    break
                data = bytes(buffer[LENGTH.size : LENGTH.size + length])
                del buffer[: LENGTH.size + length]
                await self._take(data, client)

    async def _write_tcp(self, stream: SocketStream, outbox: Outbox[bytes], scope: anyio.CancelScope) -> None:
        while True:
            await outbox.wait()
            data = b"".join(LENGTH.pack(len(answer)) + answer for answer in outbox.clear())
            try:
                with anyio.fail_after(SEND_TIMEOUT):
                    await stream.send(data)
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                scope.cancel()
                return

    async def _take(self, data: bytes, client: Client) -> None:
        now = time.time()
        serving = self._serving
        config = serving.config
        self.counters.add("enum.queries")
        try:
            query = codec.read_query(data)
        except codec.MalformedError as error:
            self.counters.add("enum.malformed")
            self._log.event("enum_malformed", error=str(error))
            if error.answer is not None:
                client.write(error.answer)
            return
        number = codec.number(query.question, serving.suffix)
        if number is None:
            self.counters.add("enum.outside")
            answer = codec.refusal(query, dns.rcode.REFUSED, codec.PROHIBITED, "no number under the suffix")
            client.write(codec.encode(answer, client.room(query)))
            return
        key: Key = (client.name, query.id, query.question)
        if key in self._open:
            self.counters.add("enum.joined")  # a retransmission: one answer is on its way
            return
        self._count += 1
        call = f"enum-{self._count}"
        lookup = self._open[key] = Lookup(self, serving.inbox, call, key, query, client, config.call_class)
        await serving.inbox.put(
            Offer(
                call=call,
                class_name=config.call_class,
                destination=serving.first_choice(number),
                number=zlib.crc32(
                    f"{client.host} {number}".encode()
                ),  # a client that asks again is known by it
                deadline=now + max(config.deadline - MARGIN, config.deadline / 2),
                caller=lookup,
                request=query.question,
                called=number,
                source=client.host,
            )
        )
