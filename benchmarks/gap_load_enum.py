"""The ENUM side of `benchmarks/gap_load.py`: a fake upstream that records queries, and callers over UDP."""

from __future__ import annotations

import random
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

from benchmarks.daemons import HOST, query_bytes
from harepick.fleet.ports import free_port

FLOODED_NUMBER = b"94112345678"
CONNECTIONS = 8  # sockets, each with its own query ids
SERVFAIL = 2
MAX_DATAGRAM_BYTES = 4096


def queried_number(query: bytes) -> bytes:
    """The number of an ENUM query (RFC 6116, section 3.2), in dialled order."""
    offset, digits = 12, []
    while query[offset] == 1:
        digits.append(query[offset + 1 : offset + 2])
        offset += 2
    return b"".join(reversed(digits))


class FakeUpstream(threading.Thread):
    """A fake upstream: answers every query at once and records its time and number."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.sock.bind((HOST, 0))
        self.port = int(self.sock.getsockname()[1])
        self.received: list[tuple[float, bytes, str]] = []  # (time, number, index as text)

    def run(self) -> None:
        while True:
            data, peer = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            self.received.append((time.time(), queried_number(data), str(len(self.received))))
            reply = bytearray(data)
            reply[2] |= 0x80
            with suppress(OSError):
                self.sock.sendto(reply, peer)


class Callers:
    """Sends look-ups over a few sockets; records when each was sent and how and when it was answered."""

    def __init__(self, port: int) -> None:
        self._target = (HOST, port)
        self.sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(CONNECTIONS)]
        self.sent: dict[bytes, tuple[float, bytes]] = {}  # call -> (time, number)
        self.answers: dict[bytes, tuple[float, int, int]] = {}  # call -> (time, rcode, 0)
        self._flooded_query = query_bytes(0, FLOODED_NUMBER.decode())[2:]
        for socket_index, sock in enumerate(self.sockets):
            sock.bind((HOST, 0))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
            threading.Thread(target=self._receive, args=(socket_index, sock), daemon=True).start()

    def send(self, n: int, number: bytes) -> None:
        """Sends look-up `n` for a number."""
        query_id = (n // CONNECTIONS) & 0xFFFF
        body = self._flooded_query if number == FLOODED_NUMBER else query_bytes(0, number.decode())[2:]
        self.sent[self._call_key(n % CONNECTIONS, query_id)] = (time.time(), number)
        self.sockets[n % CONNECTIONS].sendto(query_id.to_bytes(2, "big") + body, self._target)

    @staticmethod
    def _call_key(socket_index: int, query_id: int) -> bytes:
        """The key of a look-up: its socket and query id."""
        return bytes([socket_index]) + query_id.to_bytes(2, "big")

    def _receive(self, socket_index: int, sock: socket.socket) -> None:
        while True:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            call = self._call_key(socket_index, int.from_bytes(data[:2], "big"))
            self.answers.setdefault(call, (time.time(), data[3] & 15, 0))


class EnumFront:
    """The program on its ENUM front, configured by the operator's file and SIGHUP."""

    flooded_number = FLOODED_NUMBER

    def __init__(self) -> None:
        self.server = FakeUpstream()
        self.server.start()
        self.port = free_port()

    def launch_options(self, folder: Path) -> tuple[Path, list[str], dict[str, str]]:
        """The operator's file, and the arguments and environment to start the program with."""
        path = folder / "enum.toml"
        return path, ["--operator", str(path)], {}

    def write(self, path: Path, interval: float | None) -> None:
        """Writes the operator's file, with a gap on the flooded number or (None) without."""
        text = f'[enum]\nlisten = "{HOST}:{self.port}"\n[rules]\nopen_cap = 20000\n'
        text += f'[[upstream]]\nname = "north"\naddress = "{HOST}:{self.server.port}"\n'
        if interval is not None:
            text += f'[[gap]]\nid = "flood"\nnumber = "+{FLOODED_NUMBER.decode()}"\ninterval_s = {interval}\n'
        path.write_text(text)

    def callers(self) -> Callers:
        """Opens the callers' sockets."""
        return Callers(self.port)

    def draw_other_number(self, rng: random.Random) -> bytes:
        """A random number that is not flooded."""
        return b"9455%07d" % rng.randrange(10_000_000)

    @staticmethod
    def served(answer: tuple[float, int, int]) -> bool:
        """Whether the rcode is NOERROR."""
        return answer[1] == 0

    @staticmethod
    def refused(answer: tuple[float, int, int]) -> bool:
        """Whether the rcode is that of a refusal."""
        return answer[1] == SERVFAIL

    def count_wasted(self, callers: Callers, refused: set[bytes]) -> int:
        """Number of queries that reached the upstream although their look-ups were refused.

        A query does not identify its caller, so this is the number of queries for the flooded number less its
        look-ups that were served."""
        arrived = sum(number == FLOODED_NUMBER for _, number, _ in self.server.received)
        answered = sum(
            number == FLOODED_NUMBER and call in callers.answers and self.served(callers.answers[call])
            for call, (_, number) in callers.sent.items()
        )
        return max(0, arrived - answered)
