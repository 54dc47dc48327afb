"""Load generators: send look-ups to each instance at the scenario's rate, and collect the answers.

Every look-up becomes one `lookup` event of the rig's history: the instance, the time at which it was sent,
the number of answers, and the response code and time of the first one.
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

from harepick.fleet.checks import ANSWER_TIMEOUT_S
from harepick.fleet.history import Recorder
from harepick.fleet.ports import HOST
from harepick.fleet.scenario import Load

if TYPE_CHECKING:
    from harepick.fleet.readiness import Readiness

ENUM_SUFFIX = "e164.arpa."
QUERY_COUNT = 512  # for each instance, sent in rotation; encoded in advance, as encoding would delay sending
NUMBER_DIGITS = 11  # in a called number
SEND_INTERVAL_S = 0.005  # between two rounds of sending
MAX_DATAGRAM_BYTES = 4096


def query_bytes(number: str) -> bytes:
    """The NAPTR query for a number (`+` and digits) in wire format, without its two bytes of id."""
    name = ".".join(reversed(number.lstrip("+"))) + "." + ENUM_SUFFIX
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
    """A look-up that was sent; times in seconds, `at` on the monotonic clock."""

    at: float
    prefix: str
    caller: str  # source address; empty if the system chose it
    instance: str
    ready: bool  # whether the instance was ready when last polled; True without polling
    answers: int = 0
    rcode: int = -1
    duration: float = 0.0


class LoadGenerator:
    """Sends the look-ups of one instance's callers. Given a `readiness`, they use other instances while their
    own is not ready."""

    def __init__(
        self,
        name: str,
        index: int,
        ports: Mapping[str, int],
        load: Load,
        seed: int,
        history: Recorder,
        readiness: Readiness | None = None,
    ) -> None:
        """Encodes the queries, which holds up the event loop; `run` opens the sockets.

        `ports`: DNS port of each instance by name; `index` is the position of `name` among them."""
        instance_count = len(ports)
        self.name = name
        self._readiness = readiness
        self._index, self._instance_count, self._load, self._history = index, instance_count, load, history
        rng = Random(seed * 7919 + index)  # a sequence of its own for each seed and instance
        prefixes = [prefix for prefix, _ in load.numbers]
        prefix_weights = [weight for _, weight in load.numbers]
        self._queries: list[tuple[str, str, bytes]] = []  # prefix of the number, caller, query
        self._callers = [caller for caller, _ in load.callers] or [""]
        self._sockets: dict[str, socket.socket] = {}  # by caller, while `run` runs
        caller_weights = [weight for _, weight in load.callers] or [1.0]
        for _ in range(QUERY_COUNT):
            prefix = rng.choices(prefixes, prefix_weights)[0]
            digits = "".join(rng.choice("0123456789") for _ in range(max(0, NUMBER_DIGITS + 1 - len(prefix))))
            caller = rng.choices(self._callers, caller_weights)[0]
            self._queries.append((prefix, caller, query_bytes(prefix + digits)))
        self._addresses = {name: (HOST, port) for name, port in ports.items()}
        self._open: OrderedDict[int, _Sent] = OrderedDict()  # query id -> look-up, oldest first
        self._count = 0
        self.stopped = False

    async def run(self, start: float) -> None:
        """Sends until cancelled; the load begins at `start`, a time of the monotonic clock."""
        with ExitStack() as stack:
            for caller in self._callers:
                self._sockets[caller] = stack.enter_context(_socket(caller))
            async with anyio.create_task_group() as tasks:
                for sock in self._sockets.values():
                    tasks.start_soon(self._receive, sock)
                due_queries, last = 0.0, start
                while True:
                    now = time.monotonic()
                    if not self.stopped:
                        due_queries += self._load.at(now - start, self._index, self._instance_count) * (
                            now - last
                        )
                        # After a stall of the rig, at most 50 look-ups of the backlog are sent at once.
                        due_queries = min(due_queries, 50.0)
                    last = now
                    while due_queries >= 1.0:
                        due_queries -= 1.0
                        self._send()
                    self._record_expired(now)
                    await anyio.sleep(SEND_INTERVAL_S)

    def _send(self) -> None:
        query_id = self._count & 0xFFFF
        prefix, caller, query = self._queries[self._count % QUERY_COUNT]
        data = query_id.to_bytes(2, "big") + query
        self._count += 1
        instance, ready = self.name, True
        if self._readiness:
            instance, ready = self._readiness.choose(self.name, self._count)
        self._open[query_id] = _Sent(time.monotonic(), prefix, caller, instance, ready)
        with suppress(OSError):  # the instance is down
            self._sockets[caller].sendto(data, self._addresses[instance])

    async def _receive(self, sock: socket.socket) -> None:
        while True:
            await anyio.wait_readable(sock)
            with suppress(OSError):  # the instance's port is closed, or nothing more to read
                while True:
                    data = sock.recv(MAX_DATAGRAM_BYTES)
                    sent = self._open.get(int.from_bytes(data[:2], "big"))
                    if sent is None:
                        continue
                    sent.answers += 1
                    if sent.answers == 1:
                        sent.rcode, sent.duration = data[3] & 15, time.monotonic() - sent.at

    def _record_expired(self, now: float) -> None:
        """Records and removes the look-ups that were sent over `ANSWER_TIMEOUT_S` ago."""
        while self._open:
            query_id, sent = next(iter(self._open.items()))
            if now - sent.at <= ANSWER_TIMEOUT_S:
                return
            del self._open[query_id]
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
                took_ms=round(sent.duration * 1000, 3),
            )

    async def finish(self) -> None:
        """Stops sending; returns once all look-ups are recorded."""
        self.stopped = True
        while self._open:
            await anyio.sleep(SEND_INTERVAL_S)
