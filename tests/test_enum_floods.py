"""The ENUM front while one client sends at full speed on one connection."""

from __future__ import annotations

import socket
import struct
import time

import dns.message
import dns.rcode
import pytest

from harepick.enumdns import codec
from harepick.enumdns.listener import MAX_MALFORMED
from tests.dnspeers import NUMBER, Client, EnumProgram, Upstream
from tests.flooder import many_records, over_tcp
from tests.test_floods import AIM_S, FLOOD_S, flooding
from tests.test_memory_bounds import MEMORY_MB, peak_memory_mb


@pytest.mark.alone
@pytest.mark.parametrize(
    ("kind", "connections"),
    [
        ("empty queries", 1),
        ("garbage queries", 1),
        ("queries outside", 1),
        ("new queries", 1),
        ("queries of many records", 1),
        ("queries of many records", 100),
    ],
)
def test_other_clients_are_answered_within_the_aim_during_a_flood(kind: str, connections: int) -> None:
    """Regression: all that a read held was handled before other tasks ran, 32,768 empty messages for example:
    other clients got no answer, or after 5 s; queries of 60 KB filled the memory."""
    front = EnumProgram(Upstream())
    with front.run() as running:
        client = Client(front.port)
        client.warm_up(10)
        waits = []
        with flooding(kind, front.port, connections):
            time.sleep(0.5)
            end = time.monotonic() + FLOOD_S
            while time.monotonic() < end:
                sent_at = time.monotonic()
                query = client.query()
                client.send(query)
                while (answer := client.receive(3.0)) is not None and answer.id != query.id:
                    pass
                assert answer is not None, "no answer in 3 s"
                waits.append(time.monotonic() - sent_at)
                time.sleep(0.02)
        assert max(waits) < AIM_S, f"an answer took {max(waits):.2f} s"
        assert peak_memory_mb(running.process.pid) < MEMORY_MB / 2


def read_message(stream: socket.socket) -> bytes:
    """The next message over TCP; empty at the end of the connection."""
    with stream.makefile("rb", buffering=0) as reader:
        prefix = reader.read(2)
        return reader.read(*struct.unpack(">H", prefix)) if prefix else b""


def test_queries_before_the_limit_of_malformed_ones_are_answered() -> None:
    """A look-up that was read is answered before its connection is closed."""
    front = EnumProgram(Upstream())
    with front.run() as running, socket.create_connection(("127.0.0.1", front.port)) as sock:
        sock.settimeout(5.0)
        query = Client(front.port).query()
        sock.sendall(over_tcp(query.to_wire()) + over_tcp(b"short") * (MAX_MALFORMED + 2))
        assert dns.message.from_wire(read_message(sock)).id == query.id
        assert read_message(sock) == b""
        assert running.counters()["enum.too_bad"] == 1


@pytest.mark.parametrize("size", [codec.MAX_QUERY_BYTES, codec.MAX_QUERY_BYTES + 1])
def test_long_queries_over_tcp_are_bounded(size: int) -> None:
    front = EnumProgram(Upstream())
    with front.run(), socket.create_connection(("127.0.0.1", front.port)) as sock:
        sock.settimeout(5.0)
        query = dns.message.make_query(NUMBER, "NAPTR").to_wire()
        sock.sendall(struct.pack(">H", size))
        if size <= codec.MAX_QUERY_BYTES:
            sock.sendall(query.ljust(size, b"\0"))  # bytes after the query: malformed, and answered
            assert dns.message.from_wire(read_message(sock)).rcode() == dns.rcode.FORMERR
        else:
            assert read_message(sock) == b""


@pytest.mark.parametrize(
    ("counts", "error"),
    [
        ((1, 1, 0, 0), "other records"),
        ((1, 0, 1, 0), "other records"),
        ((1, 0, 0, 3), "other records"),
        ((0, 0, 0, 0), "0 questions"),
        ((2, 0, 0, 0), "2 questions"),
    ],
)
def test_queries_with_other_records_are_malformed(counts: tuple[int, ...], error: str) -> None:
    data = b"\0\1\0\0" + struct.pack(">HHHH", *counts) + many_records()[12:1_000]
    with pytest.raises(codec.MalformedError, match=error) as raised:
        codec.read_query(data)
    assert raised.value.answer is not None
    assert dns.message.from_wire(raised.value.answer).rcode() == dns.rcode.FORMERR
