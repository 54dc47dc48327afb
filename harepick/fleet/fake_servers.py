"""The rig's stand-in servers: DNS servers that answer at once, and tell what arrived and when.

Every revision of the configuration names addresses of its own, one for each server, so that an arrival tells
from outside which revision it was sent under. Sockets of old revisions stay open for a while to catch those.
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
STAMP = struct.Struct("qq")
DATAGRAM = 2048
KEPT = 64  # revisions whose sockets stay open
ANSWER_BIT = 0x80
SERVFAIL = 2
SUFFIX = b"\x04e164\x04arpa\x00"


class FakeServers:
    """`servers` stand-ins; `open` makes their sockets for one more revision."""

    def __init__(self, servers: int, history: Recorder, answer: float = 0.0, busy: str = "") -> None:
        """`answer`: seconds that each query is under way there; `busy`: prefix of numbers that fail."""
        self._busy = b"".join(b"\x01" + digit.encode() for digit in reversed(busy.lstrip("+")))
        self.names = [f"s{n}" for n in range(servers)]
        self._answer_after = answer
        self._history = history
        self._tasks: TaskGroup | None = None
        self._scopes: OrderedDict[int, list[anyio.CancelScope]] = OrderedDict()
        self.arrivals = 0
        self._failed: dict[str, str] = {}  # name -> how

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    def fail(self, name: str, mode: str) -> None:
        """From now on it is `silent`, or `failing` (answers SERVFAIL at once), until `repair`."""
        self._failed[name] = mode
        self._history.note("server", server=name, mode=mode)

    def repair(self, name: str) -> None:
        if self._failed.pop(name, None):
            self._history.note("server", server=name, mode="")

    @property
    def well(self) -> list[str]:
        """Those that have not failed."""
        return [name for name in self.names if name not in self._failed]

    def open(self, n: int) -> list[int]:
        """The servers' ports for the n-th configuration."""
        assert self._tasks
        ports = []
        scopes = self._scopes[n] = []
        for name in self.names:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            sock.bind((HOST, 0))
            ports.append(int(sock.getsockname()[1]))
            scopes.append(anyio.CancelScope())
            self._tasks.start_soon(self._serve, sock, name, n, scopes[-1])
        while len(self._scopes) > KEPT:
            for scope in self._scopes.popitem(last=False)[1]:
                scope.cancel()
        return ports

    async def _serve(self, sock: socket.socket, name: str, n: int, scope: anyio.CancelScope) -> None:
        with scope, sock:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(sock)
                    with suppress(OSError):  # nothing more is there, or an answer found nobody
                        while True:
                            self._answer(sock, name, n, tasks)

    def _answer(self, sock: socket.socket, name: str, n: int, tasks: TaskGroup) -> None:
        data, extra, _, peer = sock.recvmsg(DATAGRAM, 64)
        seconds, nanoseconds = STAMP.unpack(extra[0][2][: STAMP.size])
        came = time.monotonic() - (time.time() - (seconds + nanoseconds / 1e9))
        self.arrivals += 1
        # The n-th configuration is revision n: the rig alone changes it, one change after another.
        self._history.note("arrived", mono=came, server=name, revision=n)
        mode = self._failed.get(name)
        if mode == "silent":
            return
        reply = bytearray(data)
        reply[2] |= ANSWER_BIT
        if mode or (self._busy and self._busy + SUFFIX in data):  # a number ends where the suffix begins
            reply[3] = reply[3] & 0xF0 | SERVFAIL
        if self._answer_after:
            tasks.start_soon(self._later, sock, bytes(reply), peer, name)
        else:
            sock.sendto(reply, peer)

    async def _later(self, sock: socket.socket, reply: bytes, peer: tuple[str, int], name: str) -> None:
        await anyio.sleep(self._answer_after)
        self._history.note("answered", server=name)
        with suppress(OSError):
            sock.sendto(reply, peer)
