"""The DNS server of the ENUM front: accepts look-ups over UDP and TCP and passes them to the core.

Keeps the look-ups in progress. A client's retransmission joins the one in progress, and each look-up gets one
answer.
"""

from __future__ import annotations

import socket
import struct
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import anyio
import anyio.lowlevel
import dns.exception
import dns.message
import dns.name
import dns.rcode
from anyio.abc import SocketAttribute, SocketStream, UDPSocket

from harepick.core.inbox import Inbox
from harepick.core.messages import CallerGone, Offer
from harepick.counters import Counters
from harepick.enumdns import codec
from harepick.log import Log
from harepick.net.flow_control import pause_reading
from harepick.net.outbox import Outbox
from harepick.settings import EnumSettings

LENGTH_PREFIX = struct.Struct(">H")  # before each message over TCP (RFC 1035)
SEND_TIMEOUT_S = 2.0
CLOSE_CHECK_INTERVAL_S = 0.01
QUERIES_PER_TURN = 8  # of one TCP client, handled before other tasks run
MAX_MALFORMED = 16  # on one TCP connection, which is closed then
MAX_LOOKUPS_PER_CONNECTION = 256  # in progress; the next query is read when one of them has ended
MAX_OUTBOX_BYTES = 512 * 1024  # queued for one TCP client, beyond what the kernel holds
UDP_RECEIVE_BUFFER_BYTES = 1 << 20  # holds the queries that arrive while the core is busy
# Outcome of a look-up -> its name in the counters by class.
OUTCOME_NAMES = {"served": "completed", "refused": "rejected", "failed": "failed"}
ANSWER_MARGIN_S = 0.2  # the core's deadline is this long before the client's, so that the answer is in time
Key = tuple[object, int, codec.Question]  # client, query id, question: the same in a retransmission
Write = Callable[[bytes], None]


@dataclass(slots=True)
class Client:
    """A client's UDP address or TCP connection, to which its answers are written."""

    name: object  # peer address, or the outbox of a TCP connection
    host: str
    write: Write
    over_udp: bool = True
    malformed: int = 0  # malformed messages so far
    lookups: int = 0  # in progress
    lookup_ended: anyio.Event = field(default_factory=anyio.Event)

    def max_answer_size(self, query: codec.Query) -> int:
        """Bytes of the largest answer that the client accepts."""
        return query.max_udp_size if self.over_udp else 0xFFFF


class Lookup:
    """One look-up in progress; the core's `Caller`."""

    __slots__ = ("_client", "_key", "_listener", "call", "class_name", "gone", "inbox", "query")

    def __init__(
        self,
        listener: DnsListener,
        inbox: Inbox,
        call: str,
        key: Key,
        query: codec.Query,
        client: Client,
        class_name: str,
    ) -> None:
        self._listener, self.inbox, self.call, self._key = listener, inbox, call, key
        self.query, self._client, self.class_name = query, client, class_name
        self.gone = False

    def established(self, description: bytes) -> None:
        """Answers with the records of the upstream's reply."""
        size_limit = self._client.max_answer_size(self.query)
        try:
            data = codec.relay_response(self.query, description, size_limit)
            if data is None:
                data = codec.encode(codec.rebuild_response(self.query, description), size_limit)
        except (dns.exception.DNSException, ValueError):
            self.failed()
        else:
            self._finish(data, "served")

    def refused(self, retry_after: float) -> None:
        """Answers SERVFAIL; the extended error says how many milliseconds to stay away, if any.

        `retry_after` is in seconds; 0: the error names no time.
        """
        text = (
            f"overloaded, stay away for {round(retry_after * 1000)} ms" if retry_after > 0 else "overloaded"
        )
        self._finish_with(
            codec.make_response(self.query, dns.rcode.SERVFAIL, codec.NOT_READY, text), "refused"
        )

    def failed(self) -> None:
        """Answers SERVFAIL: no upstream answered."""
        self._finish_with(codec.make_response(self.query, dns.rcode.SERVFAIL, codec.NETWORK_ERROR), "failed")

    def ended(self, *, cut: bool) -> None:
        """Does nothing: a look-up ends with its answer."""

    def duplicate_id(self) -> None:
        """Does not happen: the listener gives each look-up a new call id."""
        self.failed()

    def _finish_with(self, message: dns.message.Message, outcome: str) -> None:
        self._finish(codec.encode(message, self._client.max_answer_size(self.query)), outcome)

    def _finish(self, data: bytes, outcome: str) -> None:
        if self._listener.close_lookup(self._key):
            self._client.lookups -= 1
            self._client.lookup_ended.set()
            self._listener.counters.add(f"enum.{outcome}")
            self._listener.counters.answered(self.class_name, OUTCOME_NAMES[outcome])
            self._client.write(data)


class ActiveConfig:
    """What applies to new look-ups: the configuration, its routes, and the inbox of their core."""

    def __init__(self, config: EnumSettings, first_choice: Callable[[str], int], inbox: Inbox) -> None:
        self.config, self.first_choice, self.inbox = config, first_choice, inbox
        self.suffix = dns.name.from_text(config.suffix)


class DnsListener:
    """Reads queries from UDP and TCP clients and writes the answers."""

    def __init__(self, active: ActiveConfig, counters: Counters, log: Log) -> None:
        self.counters = counters
        self._active = active
        self._log = log
        self._lookups: dict[Key, Lookup] = {}
        self._lookup_count = 0
        self._tcp_connections = 0
        self._udp: Outbox[tuple[bytes, tuple[str, int]]] = Outbox()

    @property
    def unwritten(self) -> int:
        """Answers over UDP that are not written yet."""
        return len(self._udp)

    def use_config(self, active: ActiveConfig) -> None:
        """Accepts new look-ups under `active`; those in progress stay with their core."""
        self._active = active

    def close_lookup(self, key: Key) -> bool:
        """Removes a look-up; False if it was removed before."""
        return self._lookups.pop(key, None) is not None

    async def serve_udp(self, sock: UDPSocket) -> None:
        """Serves UDP clients until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_udp, sock)
            raw = sock.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UDP_RECEIVE_BUFFER_BYTES)
            async for data, peer in sock:
                await self._handle_query(data, Client(peer, peer[0], partial(self._put_udp, peer)))

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
        """Serves one TCP client, which may have many queries in progress on its connection."""
        async with stream:
            pause_reading(stream)
            if self._tcp_connections >= self._active.config.tcp_clients:
                self.counters.add("enum.turned_away")
                return
            self._tcp_connections += 1
            outbox: Outbox[bytes] = Outbox(max_bytes=MAX_OUTBOX_BYTES, size_of=len)
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_tcp, stream, outbox, tasks.cancel_scope)
                    if await self._read_tcp(stream, outbox, tasks.cancel_scope):
                        await self._wait_until_written(outbox)
                    tasks.cancel_scope.cancel()
            finally:
                self._tcp_connections -= 1
                with anyio.CancelScope(shield=True):
                    for key, lookup in [(k, v) for k, v in self._lookups.items() if k[0] is outbox]:
                        self._lookups.pop(key, None)
                        lookup.gone = True
                        await lookup.inbox.put(CallerGone(lookup.call, lookup))
                # The tasks of a connection refer to each other until the garbage collector finds them.
                outbox.clear()

    async def _read_tcp(
        self, stream: SocketStream, outbox: Outbox[bytes], connection: anyio.CancelScope
    ) -> bool:
        """Handles queries until the client disconnects, or is idle or malformed too often; returns whether it
        is still connected."""

        def write(answer: bytes) -> None:
            if not outbox.put(answer):  # the client does not read
                self.counters.add("enum.unwritten")
                connection.cancel()

        host = str(stream.extra(SocketAttribute.remote_address, ("",))[0])
        client = Client(outbox, host, write, over_udp=False)
        buffer = bytearray()
        try:
            return await self._handle_stream(stream, client, buffer)
        finally:
            buffer.clear()

    async def _handle_stream(self, stream: SocketStream, client: Client, buffer: bytearray) -> bool:
        """Handles queries as `_read_tcp`, with what is not handled yet in `buffer`."""
        while True:
            try:
                with anyio.move_on_after(self._active.config.tcp_idle) as scope:
                    buffer += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return False
            if scope.cancelled_caught:
                if client.lookups:
                    continue
                return True
            count = 0
            while len(buffer) >= LENGTH_PREFIX.size:
                (length,) = LENGTH_PREFIX.unpack_from(buffer)
                if length > codec.MAX_QUERY_BYTES or client.malformed > MAX_MALFORMED:
                    self.counters.add("enum.too_bad")
                    return True
                if len(buffer) < LENGTH_PREFIX.size + length:
                    break
                data = bytes(buffer[LENGTH_PREFIX.size : LENGTH_PREFIX.size + length])
                del buffer[: LENGTH_PREFIX.size + length]
                await self._handle_query(data, client)
                count += 1
                if count % QUERIES_PER_TURN == 0:
                    await anyio.lowlevel.checkpoint()
                while client.lookups >= MAX_LOOKUPS_PER_CONNECTION:
                    client.lookup_ended = anyio.Event()
                    await client.lookup_ended.wait()

    async def _wait_until_written(self, outbox: Outbox[bytes]) -> None:
        """Waits until the look-ups of a connection that is to be closed are answered, and written."""
        while any(key[0] is outbox for key in self._lookups) or len(outbox) or outbox.in_flight:
            await anyio.sleep(CLOSE_CHECK_INTERVAL_S)

    async def _write_tcp(self, stream: SocketStream, outbox: Outbox[bytes], scope: anyio.CancelScope) -> None:
        while True:
            await outbox.wait()
            data = b"".join(LENGTH_PREFIX.pack(len(answer)) + answer for answer in outbox.take())
            try:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await stream.send(data)
            except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                scope.cancel()
                return
            outbox.written()

    async def _handle_query(self, data: bytes, client: Client) -> None:
        now = time.time()
        active = self._active
        config = active.config
        self.counters.add("enum.queries")
        try:
            query = codec.read_query(data)
        except codec.MalformedError as error:
            self.counters.add("enum.malformed")
            client.malformed += 1
            self._log.event("enum_malformed", error=str(error))
            if error.answer is not None:
                client.write(error.answer)
            return
        number = codec.e164_number(query.question, active.suffix)
        if number is None:
            self.counters.add("enum.outside")
            answer = codec.make_response(
                query, dns.rcode.REFUSED, codec.PROHIBITED, "no number under the suffix"
            )
            client.write(codec.encode(answer, client.max_answer_size(query)))
            return
        key: Key = (client.name, query.id, query.question)
        if key in self._lookups:
            self.counters.add("enum.joined")  # a retransmission: its look-up will be answered once
            return
        self._lookup_count += 1
        call = f"enum-{self._lookup_count}"
        client.lookups += 1
        lookup = self._lookups[key] = Lookup(self, active.inbox, call, key, query, client, config.call_class)
        await active.inbox.put(
            Offer(
                call=call,
                class_name=config.call_class,
                destination=active.first_choice(number),
                # Identifies client and called number, so that a repeated look-up is recognized as a redial.
                number=zlib.crc32(f"{client.host} {number}".encode()),
                deadline=now + max(config.deadline - ANSWER_MARGIN_S, config.deadline / 2),
                caller=lookup,
                request=query.question,
                called_number=number,
                source=client.host,
            )
        )
