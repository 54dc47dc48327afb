"""What callers know of the instances' readiness: `GET /api/ready` of each, asked again and again.

Callers of an instance that says no, or nothing, go to one that says yes; with none, they stay.
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress

import anyio

from harepick.fleet.history import Recorder
from harepick.fleet.ports import HOST

EVERY = 0.1  # seconds between two questions to one instance
WITHIN = 0.5  # for an answer; none is a no
CALL = b"GET /api/ready HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n"
YES = b"HTTP/1.1 200"


class Readiness:
    """Owns what each instance said last."""

    def __init__(self, ports: Mapping[str, int], history: Recorder) -> None:
        """`ports`: of the ops listeners, by instance."""
        self._ports, self._history = dict(ports), history
        self._ready = dict.fromkeys(ports, True)

    def choose(self, home: str, count: int) -> tuple[str, bool]:
        """Where the `count`-th call of `home`'s callers goes, and whether that one said that it is ready."""
        if self._ready[home]:
            return home, True
        able = [name for name, ready in self._ready.items() if ready]
        return (able[count % len(able)], True) if able else (home, False)

    async def run(self) -> None:
        """Until cancelled."""
        async with anyio.create_task_group() as tasks:
            for name in self._ports:
                tasks.start_soon(self._watch, name)

    async def _watch(self, name: str) -> None:
        while True:
            ready = await self._ask(self._ports[name])
            if ready != self._ready[name]:
                self._ready[name] = ready
                self._history.note("ready", whom=name, ready=ready)
            await anyio.sleep(EVERY)

    async def _ask(self, port: int) -> bool:
        with suppress(OSError, anyio.EndOfStream, anyio.BrokenResourceError), anyio.move_on_after(WITHIN):
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(CALL)
                data = b""
                while len(data) < len(YES):
                    data += await stream.receive(1024)
                return data.startswith(YES)
        return False
