"""The ENUM side of `benchmarks/gap_load.py`: one upstream that tells what came, and callers by datagram."""

from __future__ import annotations

import random
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

from benchmarks.daemons import HOST, query_bytes
from harepick.fleet.ports import free_port

CLAIM = b"94112345678"
CONNECTIONS = 8  # sockets, each with ids of its own
SERVFAIL = 2
DATAGRAM = 4096


def number_of(query: bytes) -> bytes:
    """The digits of an ENUM query (RFC 6116, section 3.2), in the order in which they are dialled."""
    at, digits = 12, []
    while query[at] == 1:
        digits.append(query[at + 1 : at + 2])
        at += 2
    return b"".join(reversed(digits))


class Upstream(threading.Thread):
    """Answers every query at once, and keeps when it came and for which number."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.sock.bind((HOST, 0))
        self.port = int(self.sock.getsockname()[1])
        self.seen: list[tuple[float, bytes, str]] = []  # (time, number, its place in the list)

    def run(self) -> None:
        while True:
            data, peer = self.sock.recvfrom(DATAGRAM)
            self.seen.append((time.time(), number_of(data), str(len(self.seen))))
            reply = bytearray(data)
            reply[2] |= 0x80
            with suppress(OSError):
                self.sock.sendto(reply, peer)


class Callers:
    """Look-ups over a few sockets; what each was told, and when."""

    def __init__(self, port: int) -> None:
        self._to = (HOST, port)
        self.socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(CONNECTIONS)]
        self.sent: dict[bytes, tuple[float, bytes]] = {}  # call -> (time, number)
        self.told: dict[bytes, tuple[float, int, int]] = {}  # call -> (time, rcode, 0)
        self._claim = query_bytes(0, CLAIM.decode())[2:]
        for place, sock in enumerate(self.socks):
            sock.bind((HOST, 0))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
            threading.Thread(target=self._hear, args=(place, sock), daemon=True).start()

    def send(self, n: int, number: bytes) -> None:
        ident = (n // CONNECTIONS) & 0xFFFF
        body = self._claim if number == CLAIM else query_bytes(0, number.decode())[2:]
        self.sent[self._call(n % CONNECTIONS, ident)] = (time.time(), number)
        self.socks[n % CONNECTIONS].sendto(ident.to_bytes(2, "big") + body, self._to)

    @staticmethod
    def _call(place: int, ident: int) -> bytes:
        return bytes([place]) + ident.to_bytes(2, "big")

    def _hear(self, place: int, sock: socket.socket) -> None:
        while True:
            try:
                data = sock.recv(DATAGRAM)
            except OSError:
                return
            call = self._call(place, int.from_bytes(data[:2], "big"))
            self.told.setdefault(call, (time.time(), data[3] & 15, 0))


class EnumFront:
    """The program on the ENUM front, with the operator's file and SIGHUP."""

    claim = CLAIM

    def __init__(self) -> None:
        self.server = Upstream()
        self.server.start()
        self.port = free_port()

    def start(self, folder: Path) -> tuple[Path, list[str], dict[str, str]]:
        """The file, and what to start the program with."""
        path = folder / "enum.toml"
        return path, ["--operator", str(path)], {}

    def write(self, path: Path, interval: float | None) -> None:
        """The operator's file, with the gap or without."""
        text = f'[enum]\nlisten = "{HOST}:{self.port}"\n[rules]\nopen_cap = 20000\n'
        text += f'[[upstream]]\nname = "north"\naddress = "{HOST}:{self.server.port}"\n'
        if interval is not None:
            text += f'[[gap]]\nid = "flood"\nnumber = "+{CLAIM.decode()}"\ninterval_s = {interval}\n'
        path.write_text(text)

    def callers(self) -> Callers:
        return Callers(self.port)

    def other(self, rng: random.Random) -> bytes:
        return b"9455%07d" % rng.randrange(10_000_000)

    @staticmethod
    def served(told: tuple[float, int, int]) -> bool:
        return told[1] == 0

    @staticmethod
    def refused(told: tuple[float, int, int]) -> bool:
        return told[1] == SERVFAIL

    def wasted(self, callers: Callers, refused: set[bytes]) -> int:
        """Queries that reached the upstream and were refused all the same: what came for the flooded number
        beyond what was answered, as an upstream's query bears nothing of its caller."""
        came = sum(number == CLAIM for _, number, _ in self.server.seen)
        answered = sum(
            number == CLAIM and call in callers.told and self.served(callers.told[call])
            for call, (_, number) in callers.sent.items()
        )
        return max(0, came - answered)
