"""Start and stop, common to the listeners for callers and for DNS."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskStatus


class Front(Protocol):
    """A service that the program runs: it accepts requests and answers them."""

    async def run(self, stop: anyio.Event, *, task_status: TaskStatus[None]) -> None:
        """Serves until `stop` is set, then answers all open requests."""

    def reload(self) -> None:
        """Reloads the settings that may change at run time."""


async def wait_until(done: Callable[[], bool], timeout: float, min_wait: float = 0.0) -> None:
    """Polls `done` until it is true; waits at least `min_wait` and at most `timeout` seconds."""
    start = time.monotonic()  # the wall clock may be changed meanwhile
    while time.monotonic() - start < timeout:
        if time.monotonic() - start >= min_wait and done():
            return
        await anyio.sleep(0.02)
