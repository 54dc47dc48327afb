"""The instances' readiness as callers see it: `GET /api/ready` of each instance, polled.

Callers of an instance that is not ready or does not answer move to a ready one; if there is none, they stay.
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress

import anyio

from harepick.fleet.history import Recorder
from harepick.fleet.ports import HOST

POLL_INTERVAL_S = 0.1  # between two requests to one instance
ANSWER_TIMEOUT_S = 0.5  # an instance that does not answer in time is not ready
READY_REQUEST = b"GET /api/ready HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n"
READY_RESPONSE = b"HTTP/1.1 200"


class Readiness:
    """The last known readiness of each instance."""

    def __init__(self, ports: Mapping[str, int], history: Recorder) -> None:
        """`ports`: ports of the ops listeners, by instance."""
        self._ports, self._history = dict(ports), history
        self._ready = dict.fromkeys(ports, True)

    def choose(self, home: str, count: int) -> tuple[str, bool]:
        """The instance for the `count`-th call of `home`'s callers, and whether it is ready."""
        if self._ready[home]:
            return home, True
        ready_instances = [name for name, ready in self._ready.items() if ready]
        return (ready_instances[count % len(ready_instances)], True) if ready_instances else (home, False)

    async def run(self) -> None:
        """Polls all instances until cancelled."""
        async with anyio.create_task_group() as tasks:
            for name in self._ports:
                tasks.start_soon(self._poll, name)

    async def _poll(self, name: str) -> None:
        while True:
            ready = await self._query(self._ports[name])
            if ready != self._ready[name]:
                self._ready[name] = ready
                self._history.note("ready", whom=name, ready=ready)
            await anyio.sleep(POLL_INTERVAL_S)

    async def _query(self, port: int) -> bool:
        with (
            suppress(OSError, anyio.EndOfStream, anyio.BrokenResourceError),
            anyio.move_on_after(ANSWER_TIMEOUT_S),
        ):
            async with await anyio.connect_tcp(HOST, port) as connection:
                await connection.send(READY_REQUEST)
                response = b""
                while len(response) < len(READY_RESPONSE):
                    response += await connection.receive(1024)
                return response.startswith(READY_RESPONSE)
        return False
