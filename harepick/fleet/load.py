"""The load that a play offers: look-ups to each instance on the scenario's schedule, and their answers.

Every look-up becomes one `lookup` line of the rig's history: which instance, when it was sent, how many
answers came, and the first one's code and time.
"""

from __future__ import annotations

import socket
import time
from collections import OrderedDict
from collections.abc import Mapping
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import anyio
import dns.message
import dns.name
import dns.rdatatype

from harepick.fleet.checks import ANSWER
from harepick.fleet.history import Recorder
from harepick.fleet.ports import HOST
from harepick.fleet.scenario import Load

if TYPE_CHECKING:
    from harepick.fleet.readiness import Readiness

SUFFIX = "e164.arpa."
QUERIES = 512  # made beforehand for each instance, so that the schedule is kept
DIGITS = 11  # of a called number
TURN = 0.005  # seconds between two looks at the schedule
DATAGRAM = 4096


def query_bytes(number: str) -> bytes:
    """A NAPTR look-up of `+` and digits, without its two bytes of id."""
    name = ".".join(reversed(number.lstrip("+"))) + "." + SUFFIX
    query = dns.message.make_query(dns.name.from_text(name), dns.rdatatype.NAPTR, use_edns=0)
    return query.to_wire()[2:]


def _socket(caller: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    if caller:
        sock.bind((caller, 0))
    return sock


@dataclass(slots=True)
class _Sent:
    at: float
    prefix: str
    caller: str  # its address; empty if the system chose it
    instance: str
    ready: bool  # whether that instance said so when it was asked last; True if nobody asks
    answers: int = 0
    rcode: int = -1
    took: float = 0.0


class LoadGenerator:
    """Look-ups of one instance's callers; with a `readiness` they follow it to other instances."""

    def __init__(
        self,
        name: str,
        place: int,
        ports: Mapping[str, int],
        load: Load,
        seed: int,
        history: Recorder,
        readiness: Readiness | None = None,
    ) -> None:
        """`ports`: where each instance takes look-ups, in the order of the places."""
        instances = len(ports)
        self.name = name
        self._readiness = readiness
        self._place, self._instances, self._load, self._history = place, instances, load, history
        rng = Random(seed * 7919 + place)
        prefixes = [prefix for prefix, _ in load.numbers]
        weights = [weight for _, weight in load.numbers]
        self._queries: list[tuple[str, str, bytes]] = []  # prefix of the number, caller, query
        self._socks = {caller: _socket(caller) for caller, _ in load.callers or (("", 1.0),)}
        shares = [weight for _, weight in load.callers] or [1.0]
        for _ in range(QUERIES):
            prefix = rng.choices(prefixes, weights)[0]
            rest = "".join(rng.choice("0123456789") for _ in range(max(0, DIGITS + 1 - len(prefix))))
            caller = rng.choices(list(self._socks), shares)[0]
            self._queries.append((prefix, caller, query_bytes(prefix + rest)))
        self._to = {name: (HOST, port) for name, port in ports.items()}
        self._open: OrderedDict[int, _Sent] = OrderedDict()  # id -> look-up
        self._count = 0
        self.stopped = False

    async def run(self, start: float) -> None:
        """Until cancelled; sends from `start` on, a time of the monotonic clock."""
        with ExitStack() as socks:
            for sock in self._socks.values():
                socks.enter_context(sock)
            async with anyio.create_task_group() as tasks:
                for sock in self._socks.values():
                    tasks.start_soon(self._hear, sock)
                owed, last = 0.0, start
                while True:
                    now = time.monotonic()
                    if not self.stopped:
                        owed += self._load.at(now - start, self._place, self._instances) * (now - last)
                        owed = min(owed, 50.0)  # after a stall of the rig no flood is made up for
                    last = now
                    while owed >= 1.0:
                        owed -= 1.0
                        self._ask()
                    self._settle(now)
                    await anyio.sleep(TURN)

    def _ask(self) -> None:
        ident = self._count & 0xFFFF
        prefix, caller, query = self._queries[self._count % QUERIES]
        data = ident.to_bytes(2, "big") + query
        self._count += 1
        whom, ready = self.name, True
        if self._readiness:
            whom, ready = self._readiness.choose(self.name, self._count)
        self._open[ident] = _Sent(time.monotonic(), prefix, caller, whom, ready)
        with suppress(OSError):  # nobody listens there for now
            self._socks[caller].sendto(data, self._to[whom])

    async def _hear(self, sock: socket.socket) -> None:
        while True:
            await anyio.wait_readable(sock)
            with suppress(OSError):  # the port is closed for now, or nothing more is there
                while True:
                    data = sock.recv(DATAGRAM)
                    sent = self._open.get(int.from_bytes(data[:2], "big"))
                    if sent is None:
                        continue
                    sent.answers += 1
                    if sent.answers == 1:
                        sent.rcode, sent.took = data[3] & 15, time.monotonic() - sent.at

    def _settle(self, now: float) -> None:
        """Writes down the look-ups whose time is over."""
        while self._open:
            ident, sent = next(iter(self._open.items()))
            if now - sent.at <= ANSWER:
                return
            del self._open[ident]
            self._history.note(
                "lookup",
                mono=sent.at,
                instance=sent.instance,
                ready=sent.ready,
                moved=sent.instance != self.name,
                prefix=sent.prefix,
                caller=sent.caller,
                answers=sent.answers,
                rcode=sent.rcode,
                took_ms=round(sent.took * 1000, 3),
            )

    async def finish(self) -> None:
        """No more look-ups; returns once all that were sent are settled."""
        self.stopped = True
        while self._open:
            await anyio.sleep(TURN)
