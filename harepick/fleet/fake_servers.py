"""Fake DNS servers of the rig, which answer at once and record what arrived and when.

Every revision of the configuration has its own address for each server, so that the address of an arrival
shows which revision it was sent under. Sockets of old revisions stay open for a while to catch late arrivals.
"""

from __future__ import annotations

import socket
import struct
import time
from collections import OrderedDict
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup, TaskStatus

from harepick.fleet.history import Recorder
from harepick.fleet.ports import HOST

SO_TIMESTAMPNS = 35
TIMESTAMP = struct.Struct("qq")
MAX_DATAGRAM_BYTES = 2048
MAX_OPEN_REVISIONS = 64  # latest revisions, whose sockets stay open
ANSWER_BIT = 0x80
SERVFAIL = 2
ENUM_SUFFIX = b"\x04e164\x04arpa\x00"


class FakeServers:
    """The fake servers of a run; `open` creates their sockets for one more revision."""

    def __init__(
        self, servers: int, history: Recorder, answer_delay: float = 0.0, busy_prefix: str = ""
    ) -> None:
        """`servers`: how many; `answer_delay`: seconds until a query is answered; `busy_prefix`: prefix of
        numbers that are answered SERVFAIL."""
        self._busy_labels = b"".join(b"\x01" + digit.encode() for digit in reversed(busy_prefix.lstrip("+")))
        self.names = [f"s{n}" for n in range(servers)]
        self._answer_delay = answer_delay
        self._history = history
        self._tasks: TaskGroup | None = None
        self._scopes: OrderedDict[int, list[anyio.CancelScope]] = OrderedDict()
        self.arrivals = 0
        self._failure_modes: dict[str, str] = {}  # name -> mode

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    def fail(self, name: str, mode: str) -> None:
        """Makes a server `silent`, or `failing` (answers SERVFAIL), until `repair`."""
        self._failure_modes[name] = mode
        self._history.note("server", server=name, mode=mode)

    def repair(self, name: str) -> None:
        """Ends the failure of a server, if any."""
        if self._failure_modes.pop(name, None):
            self._history.note("server", server=name, mode="")

    @property
    def working(self) -> list[str]:
        """Names of the servers that have not failed."""
        return [name for name in self.names if name not in self._failure_modes]

    def open(self, revision: int) -> list[int]:
        """Opens sockets for a revision of the configuration, and returns the servers' ports."""
        assert self._tasks
        ports = []
        scopes = self._scopes[revision] = []
        for name in self.names:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            sock.bind((HOST, 0))
            ports.append(int(sock.getsockname()[1]))
            scopes.append(anyio.CancelScope())
            self._tasks.start_soon(self._serve, sock, name, revision, scopes[-1])
        while len(self._scopes) > MAX_OPEN_REVISIONS:
            for scope in self._scopes.popitem(last=False)[1]:
                scope.cancel()
        return ports

    async def _serve(self, sock: socket.socket, name: str, revision: int, scope: anyio.CancelScope) -> None:
        with scope, sock:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(sock)
                    with suppress(OSError):  # nothing more to read, or an answer could not be delivered
                        while True:
                            self._answer(sock, name, revision, tasks)

    def _answer(self, sock: socket.socket, name: str, revision: int, tasks: TaskGroup) -> None:
        data, control_messages, _, peer = sock.recvmsg(MAX_DATAGRAM_BYTES, 64)
        seconds, nanoseconds = TIMESTAMP.unpack(control_messages[0][2][: TIMESTAMP.size])
        arrived_at = time.monotonic() - (time.time() - (seconds + nanoseconds / 1e9))
        self.arrivals += 1
        # The store assigns the same number: only the rig changes the configuration, one change after another.
        self._history.note("arrived", mono=arrived_at, server=name, revision=revision)
        mode = self._failure_modes.get(name)
        if mode == "silent":
            return
        reply = bytearray(data)
        reply[2] |= ANSWER_BIT
        # The digits are reversed in the name, so that a number's prefix stands right before the suffix.
        if mode or (self._busy_labels and self._busy_labels + ENUM_SUFFIX in data):
            reply[3] = reply[3] & 0xF0 | SERVFAIL
        if self._answer_delay:
            tasks.start_soon(self._answer_later, sock, bytes(reply), peer, name)
        else:
            sock.sendto(reply, peer)

    async def _answer_later(
        self, sock: socket.socket, reply: bytes, peer: tuple[str, int], name: str
    ) -> None:
        await anyio.sleep(self._answer_delay)
        self._history.note("answered", server=name)
        with suppress(OSError):
            sock.sendto(reply, peer)
