"""A program of its own that sends one kind of message at full speed, so that the test's client can be timed.

python -m tests.flooder KIND PORT CONNECTIONS SECONDS: prints the bytes that the program took."""

from __future__ import annotations

import os
import selectors
import socket
import struct
import sys
import time
from collections.abc import Callable
from contextlib import suppress

from benchmarks.daemons import query_bytes
from harepick.net import binary

CALL_ID = b"12345678"
BLOCK_MESSAGES = 500  # sent again and again, unless they have ids


def new_set_up(description: bytes = b"offer\r\n") -> bytes:
    """A set-up with a new id to a new number."""
    fields = {
        binary.CLASS: b"a",
        binary.TIME_LIMIT: b"9000",
        binary.NUMBER: os.urandom(8).hex().encode(),
        binary.DESCRIPTION: description,
    }
    return binary.Message(binary.SET_UP, os.urandom(8), fields).encode()


def set_up_and_release() -> bytes:
    """A set-up that is given up in the same breath."""
    message = new_set_up()
    return message + binary.Message(binary.RELEASE, message[3:11], {binary.CAUSE: b"\x10"}).encode()


def many_fields() -> bytes:
    """The longest message of parameters without a value."""
    fields = b"".join(bytes([code % 250 + 1, 0, 0]) for code in range(5_400))
    return (len(fields) + 9).to_bytes(2, "big") + bytes([binary.STATE]) + CALL_ID + fields


def over_tcp(query: bytes) -> bytes:
    """A DNS message with its length, as it is sent over TCP."""
    return struct.pack(">H", len(query)) + query


def new_query() -> bytes:
    """A look-up of a new number, without its length."""
    return os.urandom(2) + query_bytes(0, f"9455{int.from_bytes(os.urandom(4), 'big') % 10**7:07d}")[2:]


def many_records() -> bytes:
    """A query of 60 KB with 4,500 records that it must not have."""
    query = query_bytes(0, "94551234567")
    record = b"\xc0\x0c\0\x01\0\x01\0\0\0\0\0\0"
    return query[:6] + struct.pack(">HHH", 5_000, 0, 0) + query[12:] + record * 5_000


MESSAGES: dict[str, Callable[[], bytes]] = {
    "tests": binary.Message(binary.TEST, CALL_ID, {binary.CAUSE: b"\0"}).encode,
    "unknown types": binary.Message(99, CALL_ID).encode,
    "states": binary.Message(binary.STATE, CALL_ID).encode,
    "releases of new ids": lambda: binary.Message(
        binary.RELEASE, os.urandom(8), {binary.CAUSE: b"\x10"}
    ).encode(),
    "new calls": new_set_up,
    "large calls": lambda: new_set_up(b"d" * 16_000),
    "calls given up": set_up_and_release,
    "many fields": many_fields,
    "empty queries": lambda: over_tcp(b""),
    "garbage queries": lambda: over_tcp(os.urandom(12)),
    "queries outside": lambda: over_tcp(query_bytes(0, "1").replace(b"\x04e164", b"\x04none")),
    "new queries": lambda: over_tcp(new_query()),
    "queries of many records": lambda: over_tcp(many_records()),
    "garbage datagrams": lambda: os.urandom(20),
    "query datagrams": new_query,
}


def flood(kind: str, port: int, connections: int, seconds: float) -> int:
    """Keeps `connections` open and writes to each as fast as it takes the bytes; returns their number."""
    datagrams = kind.endswith("datagrams")
    message = MESSAGES[kind]
    selector = selectors.DefaultSelector()
    end, sent = time.monotonic() + seconds, 0
    unsent: dict[socket.socket, bytes] = {}
    while time.monotonic() < end:
        while len(unsent) < connections:
            sock = socket.socket(type=socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM)
            sock.connect(("127.0.0.1", port))
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
            unsent[sock] = b""
        for key, events in selector.select(0.1):
            assert isinstance(key.fileobj, socket.socket)
            sock = key.fileobj
            try:
                if events & selectors.EVENT_READ and not sock.recv(1 << 20) and not datagrams:
                    raise ConnectionResetError
                with suppress(BlockingIOError):
                    data = unsent[sock]
                    if not data:
                        count = 1 if datagrams else max(1, min(BLOCK_MESSAGES, (64 << 10) // len(message())))
                        data = b"".join(message() for _ in range(count))
                    written = sock.send(data)
                    sent += written
                    unsent[sock] = b"" if datagrams else data[written:]
            except BlockingIOError:
                continue
            except OSError:  # the program has closed it
                selector.unregister(sock)
                sock.close()
                del unsent[sock]
    return sent


if __name__ == "__main__":
    print(flood(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
